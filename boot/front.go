package boot

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
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
	// memoryLimitShare is the part of the instance's memory, in percent, at which
	// the collector works harder.
	memoryLimitShare = 70
	// collectPercent makes the collector run at half the usual growth: memory is
	// scarcer than processor time on these instances.
	collectPercent = 50
	// settingsInterval is the time between two looks at the settings file.
	settingsInterval = 2 * time.Second
	// heldLogLines bounds the log lines that wait for the output.
	heldLogLines = 2048
)

// front runs an instance on the platform.
func (a *App) front(args []string) int {
	file, err := a.frontSettingsFile(args)
	if err != nil {
		return a.fail(exitBadInput, err)
	}
	settings, err := readFrontSettings(file)
	if err != nil {
		return a.fail(exitBadInput, err)
	}
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(settings.MemoryMB) << 20 / 100 * memoryLimitShare)
	out := logs.NewWriter(a.out, heldLogLines)
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
	actors.Add(run.SignalHandler(context.Background(), syscall.SIGTERM, syscall.SIGINT))
	ctx, cancel := context.WithCancel(context.Background())
	actors.Add(func() error { return watchSettings(ctx, file, log, f.Reload) }, func(error) { cancel() })
	err = actors.Run()
	f.Drain()
	var stopped *run.SignalError
	if err != nil && !errors.As(err, &stopped) && !errors.Is(err, run.ErrSignal) {
		return a.fail(exitFailed, err)
	}
	return exitOK
}

// frontSettingsFile returns the settings file that the arguments name.
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

// watchSettings reads the file anew at SIGHUP and when it has changed. A file
// that can't be used leaves the settings as they are.
func watchSettings(ctx context.Context, file string, log hclog.Logger, reload func(conf.FrontSettings)) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	seen, err := readFrontSettings(file)
	if err != nil {
		log.Warn("The settings file can't be read any more.", "file", file, "error", err)
	}
	for {
		asked := false
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			asked = true
		case <-ticker.C:
		}
		settings, err := readFrontSettings(file)
		switch {
		case err != nil:
			log.Error("The settings can't be used, those before stay.", "file", file, "error", err)
		case asked || settings != seen:
			seen = settings
			reload(settings)
		}
	}
}
