package boot

import (
	"context"
	"flag"
	"os"
	"reflect"
	"runtime/debug"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/oklog/run"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/front"
	"github.com/buckthorntide/buckthorntide/logs"
	"github.com/buckthorntide/buckthorntide/platform"
)

const (
	// memoryLimitPercent is the share of the instance's memory that is set as the
	// Go runtime's soft memory limit; near it the garbage collector runs more
	// often.
	memoryLimitPercent = 70
	// gcPercent runs the garbage collector at half the default heap growth,
	// because memory is scarcer than CPU time on these instances.
	gcPercent = 50
	// settingsPollInterval is the time between two reads of the settings file.
	settingsPollInterval = 2 * time.Second
	// maxBufferedLogLines bounds the log lines that are queued for the output.
	maxBufferedLogLines = 2048
)

// front runs an instance on the operators' platform until a signal arrives.
func (a *App) front(args []string) int {
	sig := notifySignals()
	defer sig.Close()
	file, err := a.frontSettingsFile(args)
	if err != nil {
		return a.fail(exitBadInput, err)
	}
	settings, err := readFrontSettings(file)
	if err != nil {
		return a.fail(exitBadInput, err)
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(settings.MemoryMB) << 20 / 100 * memoryLimitPercent)
	out := logs.NewWriter(a.out, maxBufferedLogLines)
	defer out.Close()
	log := hclog.New(&hclog.LoggerOptions{
		Name:       "buckthorntide",
		Level:      hclog.LevelFromString(settings.LogLevel),
		Output:     out,
		JSONFormat: true,
	})
	f, err := front.NewFront(settings, log)
	if err != nil {
		return a.fail(exitFailed, err)
	}
	defer f.Close()
	f.Start()
	var actors run.Group
	actors.Add(sig.actor())
	ctx, cancel := context.WithCancel(context.Background())
	actors.Add(func() error { return watchSettings(ctx, file, sig.reload, log, f.Reload) }, func(error) { cancel() })
	err = actors.Run()
	f.Drain()
	if err != nil && !errors.Is(err, errStopSignal) {
		return a.fail(exitFailed, err)
	}
	return exitOK
}

// frontSettingsFile returns the settings file that the arguments or the
// environment name.
func (a *App) frontSettingsFile(args []string) (string, error) {
	flags := flag.NewFlagSet("front", flag.ContinueOnError)
	flags.SetOutput(a.err)
	file := flags.String("settings", a.env(platform.SettingsVariable), "file of settings, JSON with comments; "+platform.SettingsVariable+" names it too")
	err := flags.Parse(args)
	return *file, errors.Trace(err)
}

func readFrontSettings(file string) (conf.FrontSettings, error) {
	return readFile(file, conf.DefaultFrontSettings(), conf.ParseFrontSettings)
}

// watchSettings polls the settings file and reloads the settings on SIGHUP and
// when they have changed. An unreadable or invalid file leaves the current
// settings in force.
func watchSettings(ctx context.Context, file string, hangups <-chan os.Signal, log hclog.Logger, reload func(conf.FrontSettings)) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	current, err := readFrontSettings(file)
	if err != nil {
		log.Warn("failed to read the settings file", "file", file, "error", err)
	}
	for {
		forced := false
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			forced = true
		case <-ticker.C:
		}
		settings, err := readFrontSettings(file)
		switch {
		case err != nil:
			log.Error("failed to load the settings file; keeping the current settings", "file", file, "error", err)
		case forced || !reflect.DeepEqual(settings, current):
			current = settings
			reload(settings)
		}
	}
}
