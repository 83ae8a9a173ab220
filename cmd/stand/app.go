package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/stand"
)

const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2

	errUsage = errors.ConstError("usage: stand platform|engine|service [flags]")
)

type (
	// App is the command's one object.
	App struct {
		out io.Writer
		err io.Writer
	}

	// standIn is what all stand-ins have in common.
	standIn interface {
		Start() error
		Close()
		Address() string
	}
)

// NewApp returns an app that writes to the two writers.
func NewApp(out, err io.Writer) *App { return &App{out: out, err: err} }

// Run runs the stand-in that the arguments name until SIGTERM or SIGINT, and
// returns the exit code.
func (a *App) Run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	made, err := a.parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(a.err, err)
		return exitUsage
	}
	if err := made.Start(); err != nil {
		_, _ = fmt.Fprintln(a.err, err)
		return exitError
	}
	defer made.Close()
	_, _ = fmt.Fprintf(a.out, "listening on %s\n", made.Address())
	<-ctx.Done()
	return exitOK
}

func (a *App) parse(args []string) (standIn, error) {
	if len(args) == 0 {
		return nil, errUsage
	}
	flags := flag.NewFlagSet("stand "+args[0], flag.ContinueOnError)
	flags.SetOutput(a.err)
	listen := flags.String("listen", "127.0.0.1:0", "address to listen on, as IP:port")
	seed := flags.Uint64("seed", 1, "seed of probable faults")
	switch args[0] {
	case "platform":
		lag := flags.Duration("listLag", 0, "lag of the instance list")
		if err := flags.Parse(args[1:]); err != nil {
			return nil, err
		}
		return stand.NewPlatform(stand.PlatformConfig{ListLag: *lag, Seed: *seed}, *listen), nil
	case "engine":
		config := engineFlags(flags)
		if err := flags.Parse(args[1:]); err != nil {
			return nil, err
		}
		config.Seed = *seed
		return stand.NewEngine(*config, *listen), nil
	case "service":
		name := flags.String("name", "service", "name that stands in every answer")
		if err := flags.Parse(args[1:]); err != nil {
			return nil, err
		}
		return stand.NewService(stand.ServiceConfig{Name: *name, Seed: *seed}, *listen), nil
	}
	return nil, errUsage
}

func engineFlags(flags *flag.FlagSet) *stand.EngineConfig {
	config := &stand.EngineConfig{}
	flags.StringVar(&config.Name, "name", "engine", "name of the engine")
	flags.IntVar(&config.Slots, "slots", 0, "calls that run at once; 0 means 8")
	flags.Float64Var(&config.PrefillTokensPerSecond, "prefill", 0, "prompt tokens a second; 0 means 20000")
	flags.Float64Var(&config.DecodeTokensPerSecond, "decode", 0, "answer tokens a second of each call; 0 means 400")
	flags.IntVar(&config.CacheTokens, "cache", 0, "tokens that the cache holds; 0 means 200000")
	flags.BoolVar(&config.StartCold, "cold", false, "start cold")
	flags.IntVar(&config.ColdSlots, "coldSlots", 0, "calls that a cold engine can bear at first; 0 means 1")
	flags.DurationVar(&config.LoadLag, "loadLag", 0, "lag of load reports")
	flags.DurationVar(&config.EventLag, "eventLag", 0, "lag of cache events")
	flags.Float64Var(&config.EventGap, "eventGap", 0, "probability that a cache event gets lost")
	flags.StringVar(&config.Poison, "poison", "", "text that crashes the engine when a request holds it")
	flags.BoolVar(&config.ChecksFence, "checksFence", false, "refuse orders with an old fence")
	return config
}
