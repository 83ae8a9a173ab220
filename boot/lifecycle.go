package boot

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/drain"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/keys"
)

const (
	// drainPollInterval is the time between two checks whether a drain is complete.
	drainPollInterval = 20 * time.Millisecond
	// drainMargin is the end of a drain, reserved for the answers and reports of calls
	// that it ends, and maxMarginFraction bounds it to a part of a short drain.
	drainMargin       = time.Second
	maxMarginFraction = 8
	// minCallTime is the time that a call must have left to be taken in a drain if its
	// deadline is later than the drain's end: most calls end within it.
	minCallTime = 10 * time.Second
)

// Start starts every subsystem and seeds the initial admin key, if there is one.
func (n *Node) Start() error {
	n.startedAt = n.common.Clock.Now()
	n.pools.SetTable(n.platform)
	n.thread.Start()
	if err := n.seedAdminKey(); err != nil {
		return err
	}
	n.peerServer.Start()
	n.member.Start()
	n.gossip.Start()
	n.entry.Start()
	n.admin.Start()
	n.group.Go(n.retryIntents)
	n.started.Store(true)
	n.common.Log.Info("instance started",
		"instance", n.self.Name, "callers", n.entry.Address(), "operators", n.admin.Address(), "peers", n.peerServer.Address())
	return nil
}

// Drain performs a planned stop: it reports the instance as not ready to the
// load balancer, hands over its shards and lets calls in flight finish, and at last
// operators' requests. It returns when the drain is complete, its time is over or the
// context ends.
func (n *Node) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(n.common.Settings.DrainTimeout))
	defer cancel()
	n.planDrain(ctx)
	n.draining.Store(true)
	n.common.Log.Info("drain started")
	group.Sleep(ctx, time.Duration(n.common.Settings.DrainNotice))
	if err := n.member.Drain(ctx); err != nil {
		n.common.Log.Warn("failed to announce the drain to the platform", "error", err)
	}
	err := n.entry.Shutdown(ctx)
	for !n.drained(ctx) {
		if !group.Sleep(ctx, drainPollInterval) {
			err = ctx.Err()
			break
		}
	}
	if operatorsErr := n.admin.Shutdown(ctx); operatorsErr != nil {
		n.common.Log.Warn("operators' requests outlast the drain", "error", operatorsErr)
	}
	n.common.Log.Info("drain finished", "error", err)
	return errors.Trace(err)
}

// planDrain bounds the calls in progress to the context's deadline: those that may
// outlast it are refused, if they don't have the time that most calls need, and those
// that do are ended while they can still be answered.
func (n *Node) planDrain(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	margin := min(drainMargin, time.Until(deadline)/maxMarginFraction)
	answerBy := deadline.Add(-margin)
	n.stop.Begin(drain.Plan{AcceptUntil: answerBy.Add(-minCallTime), AnswerBy: answerBy})
	n.group.Go(func(ctx context.Context) {
		if group.Sleep(ctx, time.Until(answerBy)) {
			n.entry.EndCalls(answerBy.Add(margin / 2))
		}
	})
}

// drained reports whether this instance holds no state that exists nowhere else:
// shards, relayed turns and calls that no home has recorded yet, and outcomes
// that could not be written to the store.
func (n *Node) drained(ctx context.Context) bool {
	return n.pendingTurns.Len() == 0 && n.relayer.Len() == 0 && n.intents.Pending() == 0 && n.member.Drained(ctx)
}

// Close stops every subsystem without draining and waits for them.
func (n *Node) Close() {
	n.entry.Close()
	n.admin.Close()
	n.group.Close()
	n.programClient.Shutdown()
	n.poolClient.Close()
	n.peerServer.Close()
	n.gossip.Close()
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

// DrainRequested returns a channel that is closed when an operator requests a
// planned stop.
func (n *Node) DrainRequested() <-chan struct{} { return n.drainRequested }

// Address returns the listen address for callers.
func (n *Node) Address() string { return n.entry.Address() }

// AdminAddress returns the listen address for operators.
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
	return n.gossip.Seed(context.Background(), hash)
}

// retryIntents periodically retries the outcomes that could not be written to
// the store.
func (n *Node) retryIntents(ctx context.Context) {
	for group.Sleep(ctx, intentRetryInterval) {
		n.intents.Sweep(ctx)
	}
}
