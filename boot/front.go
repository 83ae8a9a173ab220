package boot

import (
	"context"
	"flag"
	"os"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/oklog/run"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/front"
	"github.com/buckthorntide/buckthorntide/logs"
)

const (
	// frontSettingsVariable names the settings file of an instance on the
	// platform.
	frontSettingsVariable = "BUCKTHORNTIDE_BOOT"
	// memoryLimitShare is the part of the instance's memory, in percent, at which
	// the collector works harder.
	memoryLimitShare = 70
	// collectPercent makes the collector run at half the usual growth: memory is
	// scarcer than processor time on these instances.
	collectPercent = 50
	// heldLogLines bounds the log lines that wait for the output.
	heldLogLines = 2048
)

// front runs an instance on the platform.
func (a *App) front(args []string) int {
	settings, err := a.frontSettings(args)
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
	err = actors.Run()
	f.Drain()
	var signal *run.SignalError
	if err != nil && !errors.As(err, &signal) && !errors.Is(err, run.ErrSignal) {
		return a.fail(exitFailed, err)
	}
	return exitOK
}

func (a *App) frontSettings(args []string) (conf.FrontSettings, error) {
	flags := flag.NewFlagSet("front", flag.ContinueOnError)
	flags.SetOutput(a.err)
	file := flags.String("settings", a.env(frontSettingsVariable), "file of settings, JSON with comments; "+frontSettingsVariable+" names it too")
	if err := flags.Parse(args); err != nil {
		return conf.FrontSettings{}, errors.Trace(err)
	}
	if *file == "" {
		return conf.DefaultFrontSettings(), nil
	}
	raw, err := os.ReadFile(*file)
	if err != nil {
		return conf.FrontSettings{}, errors.Annotate(err, "settings")
	}
	settings, err := conf.ParseFrontSettings(raw)
	return settings, errors.Annotatef(err, "%s", *file)
}
