package boot

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/keys"
)

// drainPoll is the time between two looks whether a planned stop is through.
const drainPoll = 20 * time.Millisecond

// Start runs every part.
func (n *Node) Start() error {
	n.startedAt = n.common.Clock.Now()
	n.pools.Keep(n.platform)
	n.thread.Start()
	if err := n.seedAdminKey(); err != nil {
		return err
	}
	n.peers.Start()
	n.member.Start()
	n.spread.Start()
	n.entry.Start()
	n.admin.Start()
	n.group.Go(n.sweep)
	n.started.Store(true)
	n.common.Log.Info("The instance runs.",
		"instance", n.self.Name, "callers", n.entry.Address(), "operators", n.admin.Address(), "peers", n.peers.Address())
	return nil
}

// Drain stops as planned: the balancer is told, shards are handed over, calls
// under way finish. It returns once nothing is left or the context ends.
func (n *Node) Drain(ctx context.Context) error {
	n.draining.Store(true)
	n.common.Log.Info("A planned stop begins.")
	group.Sleep(ctx, time.Duration(n.common.Settings.DrainNotice))
	if err := n.member.Drain(ctx); err != nil {
		n.common.Log.Warn("The platform was not told of the stop.", "error", err)
	}
	err := n.entry.Shutdown(ctx)
	for err == nil && !n.settled(ctx) {
		if !group.Sleep(ctx, drainPoll) {
			err = ctx.Err()
		}
	}
	n.common.Log.Info("The planned stop is through.", "error", err)
	return errors.Trace(err)
}

// settled tells whether nothing is left that only this instance knows: shards,
// turns that no home has kept yet, and outcomes that the store did not take.
func (n *Node) settled(ctx context.Context) bool {
	return n.carrier.Len() == 0 && n.relayer.Len() == 0 && n.intents.Pending() == 0 && n.member.Drained(ctx)
}

// Close stops every part at once and waits for them.
func (n *Node) Close() {
	n.entry.Close()
	n.admin.Close()
	n.group.Close()
	n.programs.Shutdown()
	n.routes.Close()
	n.peers.Close()
	n.spread.Close()
	n.member.Close()
	n.quota.Close()
	n.progs.Close()
	n.pools.Close()
	n.orders.Close()
	n.thread.Close()
	n.committer.Close()
	n.conns.Close()
	n.plain.Close()
	n.engineHTTP.CloseIdleConnections()
	n.platform.Close()
}

// DrainAsked is closed once an operator has asked for a planned stop.
func (n *Node) DrainAsked() <-chan struct{} { return n.drainAsked }

// Address returns the address that callers reach the instance at.
func (n *Node) Address() string { return n.entry.Address() }

// AdminAddress returns the address that operators reach the instance at.
func (n *Node) AdminAddress() string { return n.admin.Address() }

func (n *Node) seedAdminKey() error {
	if n.adminKey == "" {
		return nil
	}
	hash, err := keys.HashKey(keys.AdminKind, n.adminKey)
	if err != nil {
		hash, err = keys.ParseHash(n.adminKey)
	}
	if err != nil {
		return errors.Annotate(err, "the first admin key")
	}
	return n.spread.Seed(context.Background(), hash)
}

// sweep tries again what the store did not take.
func (n *Node) sweep(ctx context.Context) {
	for group.Sleep(ctx, sweepInterval) {
		n.intents.Sweep(ctx)
	}
}
