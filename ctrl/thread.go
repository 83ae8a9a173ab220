// Package ctrl runs an instance's control state on one goroutine. Request
// goroutines post functions to it and read the snapshots that it publishes.
package ctrl

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
)

const (
	// ErrStopped means that the control thread has stopped.
	ErrStopped = errors.ConstError("control thread stopped")

	// mailboxSize bounds how many posted functions may be queued.
	mailboxSize = 4096
)

// System is a part of the control state that needs a periodic update.
type System interface {
	// Tick updates the system; now is the current time.
	Tick(now time.Time)
}

// Thread runs posted functions and the systems' ticks on one goroutine.
type Thread struct {
	common   *common.Common
	interval time.Duration
	systems  []System
	mailbox  chan func(now time.Time)
	group    *group.Group
}

// NewThread returns a thread that ticks the systems, in order, once per
// interval after Start.
func NewThread(c *common.Common, interval time.Duration, systems ...System) *Thread {
	return &Thread{
		common:   c.Part("ctrl"),
		interval: interval,
		systems:  systems,
		mailbox:  make(chan func(now time.Time), mailboxSize),
		group:    group.NewGroup(context.Background()),
	}
}

// Add appends a system. It must be called before Start.
func (t *Thread) Add(s System) { t.systems = append(t.systems, s) }

// Start starts the thread's goroutine.
func (t *Thread) Start() { t.group.Go(t.run) }

// Post queues f without waiting for it to run. It blocks while the mailbox is
// full.
func (t *Thread) Post(ctx context.Context, f func(now time.Time)) error {
	select {
	case t.mailbox <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-t.group.Context().Done():
		return ErrStopped
	}
}

// Do runs f on the thread and waits for its end. If ErrStopped is returned, f may
// have run.
func (t *Thread) Do(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	err := t.Post(ctx, func(now time.Time) {
		defer close(done)
		f(now)
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-t.group.Context().Done():
		return ErrStopped
	}
}

// Close stops the thread and waits for its end. Functions that are still queued
// are dropped.
func (t *Thread) Close() { t.group.Close() }

func (t *Thread) run(ctx context.Context) {
	ticker := time.NewTicker(t.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-t.mailbox:
			f(t.common.Clock.Now())
		case <-ticker.C:
			t.tick()
		}
	}
}

func (t *Thread) tick() {
	now := t.common.Clock.Now()
	for _, s := range t.systems {
		s.Tick(now)
	}
}
