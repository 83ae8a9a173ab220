package main

import (
	"context"

	"github.com/buckthorntide/buckthorntide/naive"
)

// naiveCluster is a fleet of naive instances.
type naiveCluster struct {
	config    naive.Config
	instances members[*naive.Instance]
}

func newNaiveCluster(w *world, instances int) *naiveCluster {
	keys := make(map[string]string)
	for _, team := range w.load.teams {
		keys[naiveKey(team.name)] = team.name
	}
	return &naiveCluster{config: naive.Config{
		PlatformAddress: w.platform.Address(),
		Text:            w.text,
		Instances:       instances,
		Keys:            keys,
		Share:           naive.NewShare(),
	}}
}

func naiveKey(team string) string { return "btk_naive_" + team }

// Start adds so many instances.
func (c *naiveCluster) Start(_ context.Context, count int) error {
	for range count {
		i, err := naive.NewInstance(c.config, loopback)
		if err != nil {
			return err
		}
		i.Start()
		c.instances.add(i)
	}
	return nil
}

// Settle returns at once: buckets begin full.
func (c *naiveCluster) Settle(context.Context) error { return nil }

// Addresses returns where callers reach the instances.
func (c *naiveCluster) Addresses() []string { return c.instances.addresses() }

// Stop ends the oldest instance as planned.
func (c *naiveCluster) Stop(ctx context.Context) error {
	err := c.instances.oldest().Stop(ctx)
	c.instances.removeOldest()
	return err
}

// Kill ends the oldest instance at once.
func (c *naiveCluster) Kill() { c.instances.removeOldest().Close() }

// SetDomain takes a failure domain out or brings it back.
func (c *naiveCluster) SetDomain(_ context.Context, domain string, out bool) error {
	c.config.Share.SetDomain(domain, out)
	return nil
}

// Key returns a key of the team.
func (c *naiveCluster) Key(_ context.Context, team string) (string, error) {
	return naiveKey(team), nil
}

// Close ends all instances.
func (c *naiveCluster) Close() { c.instances.close() }
