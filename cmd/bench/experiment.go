package main

import (
	"context"
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/stand"
)

const (
	normalUtilisation = 0.7
	highUtilisation   = 0.9
	faultUtilisation  = 0.5
	normalDuration    = 20 * time.Second
	// crashProbability is how often a plain service runs a call and drops the
	// connection, in experiments with faults.
	crashProbability = 0.05
	outDomain        = "a"
	outageDuration   = 6 * time.Second
	instanceCount    = 12
	stopTimeout      = 20 * time.Second
)

type (
	// fault happens at its time after the load began.
	fault struct {
		at time.Duration
		do func(ctx context.Context, t *trial) error
	}

	// experiment is one load with its faults.
	experiment struct {
		name    string
		summary string
		load    load
		faults  []fault
		// poison adds one program whose first call crashes engines.
		poison bool
	}
)

// experiments returns all experiments, in the order they are listed.
func experiments() []experiment {
	normal := newLoad(normalUtilisation, normalDuration)
	faulty := newLoad(faultUtilisation, normalDuration)
	return []experiment{
		{name: "steady", summary: "0.7 of the engines' capacity, no faults", load: normal},
		{name: "steadyHigh", summary: "0.9 of the engines' capacity, no faults", load: newLoad(highUtilisation, normalDuration)},
		{
			name: "noisyTeam", summary: "one team sends five times its rate",
			load: newLoad(faultUtilisation, normalDuration).withNoisyTeam(),
		},
		{
			name: "domainOut", summary: "a failure domain is taken out and comes back", load: faulty,
			faults: []fault{{at: 6 * time.Second, do: setDomain(true)}, {at: 13 * time.Second, do: setDomain(false)}},
		},
		{
			name: "instanceLoss", summary: "an instance dies, and one takes its place later", load: faulty,
			faults: []fault{
				{do: crashServices},
				{at: 6 * time.Second, do: killOne},
				{at: 10 * time.Second, do: startOne},
				{at: 14 * time.Second, do: killOne},
			},
		},
		{
			name: "storeDown", summary: "the platform is down for a while", load: faulty,
			faults: []fault{
				{do: crashServices},
				{at: 6 * time.Second, do: setPlatform(stand.DownDrop)},
				{at: 6*time.Second + outageDuration, do: setPlatform(stand.DownNo)},
			},
		},
		{
			name: "coldStart", summary: "engines turn cold: by a crash, and unannounced", load: faulty,
			faults: []fault{
				{at: 5 * time.Second, do: faultEngine(0, stand.EngineFaults{Crash: true})},
				{at: 10 * time.Second, do: faultEngine(1, stand.EngineFaults{TurnCold: true})},
				{at: 13 * time.Second, do: faultEngine(2, stand.EngineFaults{Crash: true})},
			},
		},
		{
			name: "poison", summary: "a request crashes each engine that runs it, and is sent again", load: faulty,
			poison: true, faults: []fault{{do: crashServices}},
		},
		{
			name: "rollingStop", summary: "instances are replaced one by one, as planned", load: faulty,
			faults: []fault{
				{at: 4 * time.Second, do: replaceOne},
				{at: 8 * time.Second, do: replaceOne},
				{at: 12 * time.Second, do: replaceOne},
			},
		},
	}
}

// runFaults lets each fault happen at its time, one after the other.
func (e experiment) runFaults(ctx context.Context, t *trial, failed func(error)) {
	began := time.Now()
	for _, f := range e.faults {
		if !group.Sleep(ctx, time.Until(began.Add(f.at))) {
			return
		}
		if err := f.do(ctx, t); err != nil {
			failed(err)
		}
	}
}

func setDomain(out bool) func(context.Context, *trial) error {
	return func(ctx context.Context, t *trial) error {
		err := t.cluster.SetDomain(ctx, outDomain, out)
		if out {
			t.world.outAt = time.Now()
		} else {
			t.world.inAt = time.Now()
		}
		return err
	}
}

func crashServices(_ context.Context, t *trial) error {
	for _, s := range t.world.services {
		s.SetFaults(stand.ServiceFaults{
			CrashAfterRunProbability: crashProbability,
			Delay:                    conf.Duration(time.Millisecond),
		})
	}
	return nil
}

func killOne(_ context.Context, t *trial) error {
	t.cluster.Kill()
	return nil
}

func startOne(ctx context.Context, t *trial) error { return t.cluster.Start(ctx, 1) }

func setPlatform(down stand.Down) func(context.Context, *trial) error {
	return func(_ context.Context, t *trial) error {
		t.world.platform.SetFaults(stand.PlatformFaults{Down: down})
		return nil
	}
}

func faultEngine(index int, faults stand.EngineFaults) func(context.Context, *trial) error {
	return func(_ context.Context, t *trial) error {
		t.world.engines[index].SetFaults(faults)
		return nil
	}
}

// replaceOne starts a new instance and stops the oldest at the same time.
func replaceOne(ctx context.Context, t *trial) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	var stopErr error
	g := group.NewGroup(ctx)
	g.Go(func(ctx context.Context) { stopErr = t.cluster.Stop(ctx) })
	startErr := t.cluster.Start(ctx, 1)
	g.Wait()
	if startErr != nil {
		return startErr
	}
	return stopErr
}
