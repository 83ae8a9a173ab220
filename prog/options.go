package prog

import (
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
)

const (
	maxIDBytes     = 200
	maxInlineBytes = 16 << 10 // bytes of a turn's body that stay in its row
	maxAgents      = 256
	maxQueuedCalls = 64
	rangePageSize  = 256
)

// Options are a Core's parameters.
type Options struct {
	// Instance is the instance's name.
	Instance string
	// Epoch is unique to each incarnation of the instance.
	Epoch string
	// DefaultBudget replaces a budget's zero fields.
	DefaultBudget conf.Budget
	// ChunksPerBudget is the number of chunks in which a budget is reserved.
	ChunksPerBudget int64
	// CommitTimeout is how long Open, End and Close wait for their commit.
	CommitTimeout time.Duration
	// LongPollTimeout is how long a Begin waits before it is answered with
	// Wait.
	LongPollTimeout time.Duration
	// QueuePlaceTTL is how long a call answered with Wait keeps its place in
	// the queue.
	QueuePlaceTTL time.Duration
	// RetryInterval is the time between attempts at the store.
	RetryInterval time.Duration
	// DefaultCallTimeout is the timeout of a call without a deadline.
	DefaultCallTimeout time.Duration
	// ReportGracePeriod is how long after its deadline a running call may
	// still be reported.
	ReportGracePeriod time.Duration
	// IdleTimeout is how long a program may be idle before its cache is
	// released.
	IdleTimeout time.Duration
	// EvictDelay is how long an ended or idle program stays in memory.
	EvictDelay time.Duration
}

// DefaultOptions returns an instance's options with default values.
func DefaultOptions(instance, epoch string) Options {
	return Options{
		Instance:           instance,
		Epoch:              epoch,
		DefaultBudget:      conf.Budget{Calls: 1000, Tokens: 4_000_000, Seconds: 3600},
		ChunksPerBudget:    8,
		CommitTimeout:      time.Second,
		LongPollTimeout:    20 * time.Second,
		QueuePlaceTTL:      5 * time.Second,
		RetryInterval:      200 * time.Millisecond,
		DefaultCallTimeout: 2 * time.Minute,
		ReportGracePeriod:  5 * time.Second,
		IdleTimeout:        5 * time.Minute,
		EvictDelay:         30 * time.Second,
	}
}

func (o *Options) withDefaults(b conf.Budget) conf.Budget {
	if b.Calls <= 0 {
		b.Calls = o.DefaultBudget.Calls
	}
	if b.Tokens <= 0 {
		b.Tokens = o.DefaultBudget.Tokens
	}
	if b.Seconds <= 0 {
		b.Seconds = o.DefaultBudget.Seconds
	}
	return b
}
