package store

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/group"
)

const (
	// ErrQueueFull says that a Committer holds as many transactions as it may
	// and that nothing was written.
	ErrQueueFull = errors.ConstError("commit queue full")
	// ErrClosed says that a Committer was closed before it tried the
	// transaction, and that nothing was written.
	ErrClosed = errors.ConstError("committer closed")

	defaultMaxWrites = 256
	defaultMaxQueue  = 16384
	defaultBackoff   = 20 * time.Millisecond
	maxBackoff       = time.Second
	closeTimeout     = time.Second
)

type (
	// CommitterConfig sets a Committer up; zero fields take the defaults.
	CommitterConfig struct {
		// Interval is how long transactions gather before they are committed.
		Interval time.Duration
		// MarkerPrefix begins the key of a row that the committer writes with
		// every batch and removes when it is closed, so that a lost answer can
		// always be settled. Empty means that there is no such row; then an
		// outcome may stay unknown once others have overwritten the rows.
		MarkerPrefix string
		// MaxWrites is the most rows of one platform transaction.
		MaxWrites int
		// MaxQueue is the most transactions that wait.
		MaxQueue int
		// Backoff is the first pause after the platform was not reached; it
		// doubles up to one second.
		Backoff time.Duration
	}

	// CommitterStats are a Committer's counts.
	CommitterStats struct {
		// Submitted counts transactions given to the committer.
		Submitted int64 `json:"submitted"`
		// Committed counts those that were written.
		Committed int64 `json:"committed"`
		// Conflicts counts those whose condition did not hold.
		Conflicts int64 `json:"conflicts"`
		// Unknown counts those whose outcome could not be found out.
		Unknown int64 `json:"unknown"`
		// Writes counts platform transactions, tries included.
		Writes int64 `json:"writes"`
		// Settled counts lost answers that were settled later.
		Settled int64 `json:"settled"`
		// Queued is the number of transactions that wait or are in flight.
		Queued int `json:"queued"`
	}

	// Committer commits many small transactions of their own conditions in few
	// platform transactions. One whose condition fails does not fail others.
	// Transactions that touch the same row take effect in the order they came.
	Committer struct {
		table  Table
		config CommitterConfig
		group  *group.Group
		marker marker
		// failing says that the last write got no answer.
		failing atomic.Bool

		mu       sync.Mutex
		queue    []*Pending
		inFlight int
		closed   bool
		stats    CommitterStats
		work     chan struct{}
		idle     chan struct{}
	}
)

// NewCommitter returns a running committer over the table.
func NewCommitter(table Table, config CommitterConfig) *Committer {
	c := &Committer{
		table:  table,
		config: config.withDefaults(),
		group:  group.NewGroup(context.Background()),
		marker: newMarker(config.MarkerPrefix),
		work:   make(chan struct{}, 1),
		idle:   make(chan struct{}),
	}
	c.group.Go(c.run)
	return c
}

// Submit queues a transaction and returns at once.
func (c *Committer) Submit(txn Txn) (*Pending, error) {
	p := newPending(txn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	if len(c.queue)+c.inFlight >= c.config.MaxQueue {
		return nil, ErrQueueFull
	}
	c.stats.Submitted++
	c.queue = append(c.queue, p)
	c.signal()
	return p, nil
}

// Commit queues a transaction and waits for its outcome. If the context ends
// first, the transaction is withdrawn with ErrUnavailable, or left to its
// course with ErrUnknown if it is in flight.
func (c *Committer) Commit(ctx context.Context, txn Txn) (Outcome, error) {
	p, err := c.Submit(txn)
	if err != nil {
		return Outcome{Err: err}, err
	}
	var outcome Outcome
	select {
	case <-p.done:
		outcome = p.outcome
	case <-ctx.Done():
		outcome = c.withdraw(p)
	}
	return outcome, outcome.Err
}

// Flush waits until no transaction is queued or in flight.
func (c *Committer) Flush(ctx context.Context) error {
	for {
		c.mu.Lock()
		empty := len(c.queue)+c.inFlight == 0
		idle := c.idle
		c.mu.Unlock()
		if empty {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close stops the committer and waits. Transactions that it has not tried end
// with ErrClosed, those in doubt with ErrUnknown.
func (c *Committer) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.group.Close()
	c.removeMarker()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.queue {
		p.finish(Outcome{Err: ErrClosed})
	}
	c.queue = nil
	c.wakeIdle()
}

// Unreachable says that the last write got no answer from the platform, so that
// a transaction submitted now is likely to wait.
func (c *Committer) Unreachable() bool { return c.failing.Load() }

// Stats returns the counts so far.
func (c *Committer) Stats() CommitterStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.stats
	stats.Queued = len(c.queue) + c.inFlight
	return stats
}

// WritesPerCall returns how many platform transactions one submitted
// transaction took.
func (s CommitterStats) WritesPerCall() float64 {
	if s.Submitted == 0 {
		return 0
	}
	return float64(s.Writes) / float64(s.Submitted)
}

// removeMarker tries once to remove the committer's own row.
func (c *Committer) removeMarker() {
	if !c.marker.used() || c.marker.version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_, _ = c.table.Commit(ctx, Txn{
		RequestID:  NewRequestID(),
		Conditions: []Condition{{Key: c.marker.key, Version: c.marker.version}},
		Writes:     []Write{{Key: c.marker.key, Delete: true}},
	})
}

func (c CommitterConfig) withDefaults() CommitterConfig {
	if c.MaxWrites == 0 {
		c.MaxWrites = defaultMaxWrites
	}
	if c.MaxQueue == 0 {
		c.MaxQueue = defaultMaxQueue
	}
	if c.Backoff == 0 {
		c.Backoff = defaultBackoff
	}
	return c
}

// withdraw takes a transaction off the queue if it is still there, and returns
// what is known of it.
func (c *Committer) withdraw(p *Pending) Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.state == pendingInFlight {
		return Outcome{Err: ErrUnknown}
	}
	if p.state == pendingQueued {
		c.queue = slices.DeleteFunc(c.queue, func(q *Pending) bool { return q == p })
		p.finish(Outcome{Err: ErrUnavailable})
		c.wakeIdle()
	}
	return p.outcome
}

func (c *Committer) run(ctx context.Context) {
	failures := 0
	for c.awaitWork(ctx) {
		if !group.Sleep(ctx, c.config.Interval) {
			return
		}
		if c.commitOnce(ctx) {
			failures = 0
			continue
		}
		failures++
		group.Sleep(ctx, c.backoff(failures))
	}
}

func (c *Committer) awaitWork(ctx context.Context) bool {
	c.mu.Lock()
	waiting := len(c.queue) > 0
	c.mu.Unlock()
	if waiting {
		return ctx.Err() == nil
	}
	select {
	case <-c.work:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Committer) signal() {
	select {
	case c.work <- struct{}{}:
	default:
	}
}

func (c *Committer) wakeIdle() {
	close(c.idle)
	c.idle = make(chan struct{})
}

// backoff returns the pause after that many failures, with jitter.
func (c *Committer) backoff(failures int) time.Duration {
	most := min(maxBackoff, c.config.Backoff<<min(failures-1, 16))
	return most/2 + rand.N(most/2+1)
}
