package boot

import (
	"context"
	"flag"
	"os"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/oklog/run"

	"github.com/buckthorntide/buckthorntide/conf"
)

// adminKeyVariable is the environment variable with the initial admin key; it is
// read if the settings name no key file.
const adminKeyVariable = "BUCKTHORNTIDE_ADMIN_KEY"

// errDrained ends the run group when an operator requests a drain.
const errDrained = errors.ConstError("planned stop")

func (a *App) serve(args []string) int {
	sig := notifySignals()
	defer sig.Close()
	settings, err := a.settings(args)
	if err != nil {
		return a.fail(exitBadInput, err)
	}
	adminKey, err := a.adminKey(settings)
	if err != nil {
		return a.fail(exitBadInput, err)
	}
	log := hclog.New(&hclog.LoggerOptions{
		Name:   "buckthorntide",
		Level:  hclog.LevelFromString(settings.LogLevel),
		Output: a.err,
	})
	node, err := NewNode(Options{Settings: settings, Log: log, AdminKey: adminKey})
	if err != nil {
		return a.fail(exitFailed, err)
	}
	if err := runNode(node, sig); err != nil {
		return a.fail(exitFailed, err)
	}
	return exitOK
}

// runNode runs the instance until a signal arrives or an operator requests a
// drain, then drains and closes it.
func runNode(node *Node, sig *signals) error {
	if err := node.Start(); err != nil {
		node.Close()
		return err
	}
	var group run.Group
	group.Add(sig.actor())
	stop := make(chan struct{})
	group.Add(func() error {
		select {
		case <-node.DrainRequested():
			return errDrained
		case <-stop:
			return nil
		}
	}, func(error) { close(stop) })
	err := group.Run()
	drainErr := node.Drain(context.Background())
	node.Close()
	if err != nil && !errors.Is(err, errDrained) && !errors.Is(err, errStopSignal) {
		return err
	}
	return drainErr
}

// settings reads the settings from the file that -settings names; the other
// flags override the file.
func (a *App) settings(args []string) (conf.Settings, error) {
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	flags.SetOutput(a.err)
	file := flags.String("settings", "", "file of settings, JSON with comments")
	overrides := []struct {
		flag  string
		help  string
		field func(*conf.Settings) *string
	}{
		{"name", "name of the instance", func(s *conf.Settings) *string { return &s.Instance }},
		{"domain", "failure domain of the instance", func(s *conf.Settings) *string { return &s.FailureDomain }},
		{"region", "region of the instance", func(s *conf.Settings) *string { return &s.Region }},
		{"listen", "address for callers, IP:port", func(s *conf.Settings) *string { return &s.ListenAddress }},
		{"admin", "address for operators, IP:port", func(s *conf.Settings) *string { return &s.AdminAddress }},
		{"peer", "address for other instances, IP:port", func(s *conf.Settings) *string { return &s.PeerAddress }},
		{"platform", "address of the platform, IP:port", func(s *conf.Settings) *string { return &s.PlatformAddress }},
		{"log", "log level", func(s *conf.Settings) *string { return &s.LogLevel }},
	}
	values := make([]*string, 0, len(overrides))
	for _, o := range overrides {
		values = append(values, flags.String(o.flag, "", o.help))
	}
	if err := flags.Parse(args); err != nil {
		return conf.Settings{}, errors.Trace(err)
	}
	settings, err := readSettings(*file)
	if err != nil {
		return conf.Settings{}, err
	}
	for i, o := range overrides {
		if *values[i] != "" {
			*o.field(&settings) = *values[i]
		}
	}
	return settings, settings.Check()
}

func readSettings(file string) (conf.Settings, error) {
	return readFile(file, conf.DefaultSettings(), conf.ParseSettings)
}

// readFile reads settings from a file; an empty name means the defaults.
func readFile[T any](file string, defaults T, parse func(source []byte) (T, error)) (T, error) {
	if file == "" {
		return defaults, nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return defaults, errors.Annotate(err, "read settings")
	}
	settings, err := parse(raw)
	return settings, errors.Annotatef(err, "settings %s", file)
}

func (a *App) adminKey(settings conf.Settings) (string, error) {
	if settings.AdminKeyFile == "" {
		return a.env(adminKeyVariable), nil
	}
	raw, err := os.ReadFile(settings.AdminKeyFile)
	return strings.TrimSpace(string(raw)), errors.Annotate(err, "read the admin key")
}
