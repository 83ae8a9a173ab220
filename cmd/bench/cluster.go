package main

import "context"

// cluster is the fleet of instances under test, all in this process.
type cluster interface {
	// Start adds so many instances and waits until they are ready.
	Start(ctx context.Context, count int) error
	// Settle waits until the fleet that was just started has spread its work and
	// every team's whole burst is there.
	Settle(ctx context.Context) error
	// Addresses returns where callers reach the instances that were started
	// and neither stopped nor killed, in the order of their start.
	Addresses() []string
	// Stop ends the oldest instance as planned: it cuts off no call.
	Stop(ctx context.Context) error
	// Kill ends the oldest instance at once.
	Kill()
	// SetDomain takes a failure domain out or brings it back, and returns once
	// the change is accepted.
	SetDomain(ctx context.Context, domain string, out bool) error
	// Key returns a key of the team.
	Key(ctx context.Context, team string) (string, error)
	Close()
}
