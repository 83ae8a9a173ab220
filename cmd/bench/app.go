package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"text/tabwriter"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2

	errExperiment = errors.ConstError("no such experiment; -list lists them")
)

type (
	// App is the command's one object.
	App struct {
		out io.Writer
		err io.Writer
	}

	options struct {
		seed       uint64
		experiment string
		policy     string
		instances  int
		logLevel   string
		list       bool
		json       bool
	}
)

// NewApp returns an app that writes to the two writers.
func NewApp(out, err io.Writer) *App { return &App{out: out, err: err} }

// Run runs what the arguments ask for and returns the exit code.
func (a *App) Run(args []string) int {
	o, err := a.parse(args)
	if err != nil {
		return exitUsage
	}
	if o.list {
		a.list()
		return exitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := a.run(ctx, o); err != nil {
		_, _ = fmt.Fprintln(a.err, err)
		if errors.Is(err, errExperiment) || errors.Is(err, errPolicy) {
			return exitUsage
		}
		return exitFailed
	}
	return exitOK
}

func (a *App) parse(args []string) (options, error) {
	var o options
	flags := flag.NewFlagSet("bench", flag.ContinueOnError)
	flags.SetOutput(a.err)
	flags.Uint64Var(&o.seed, "seed", 1, "seed of the load and of probable faults")
	flags.StringVar(&o.experiment, "experiment", "steady", "name of the experiment")
	flags.StringVar(&o.policy, "policy", "", "ours or naive; empty runs both, one after the other")
	flags.IntVar(&o.instances, "instances", instanceCount, "instances at the start")
	flags.StringVar(&o.logLevel, "log", "error", "log level of the instances")
	flags.BoolVar(&o.list, "list", false, "list the experiments")
	flags.BoolVar(&o.json, "json", false, "print one line of JSON an experiment")
	return o, flags.Parse(args)
}

func (a *App) list() {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	for _, e := range experiments() {
		_, _ = fmt.Fprintf(w, "%s\t%s\n", e.name, e.summary)
	}
	_ = w.Flush()
}

func (a *App) run(ctx context.Context, o options) error {
	e, err := findExperiment(o.experiment)
	if err != nil {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "bench", Level: hclog.LevelFromString(o.logLevel), Output: a.err})
	policies := []policyName{policyName(o.policy)}
	if o.policy == "" {
		policies = []policyName{policyNaive, policyOurs}
	}
	for _, policy := range policies {
		makeCluster, err := clusterOf(policy, log)
		if err != nil {
			return err
		}
		t := &trial{experiment: e, seed: o.seed, policy: policy, instances: o.instances, freeTimeout: freeTimeout}
		r, err := t.run(ctx, makeCluster)
		if err != nil {
			return errors.Annotatef(err, "%s, %s", e.name, policy)
		}
		if err := a.print(r, o.json); err != nil {
			return err
		}
	}
	return nil
}

func findExperiment(name string) (experiment, error) {
	for _, e := range experiments() {
		if e.name == name {
			return e, nil
		}
	}
	return experiment{}, errors.Annotatef(errExperiment, "%q", name)
}

func (a *App) print(r result, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(a.out).Encode(r)
	}
	return printTable(a.out, r)
}
