// Package group runs goroutines that are cancelled and waited for together.
package group

import (
	"context"
	"sync"
)

// Group is a set of goroutines that share one context.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex // orders Go before or after the start of Close
	closed bool
}

// NewGroup returns a group whose context is a child of parent.
func NewGroup(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Context returns the goroutines' context, which Close cancels.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs f in a goroutine of the group, with the group's context. It reports
// false, without running f, once Close has been called.
func (g *Group) Go(f func(ctx context.Context)) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.wg.Go(func() { f(g.ctx) })
	return true
}

// Close cancels the group's context and waits until every goroutine has
// returned.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.cancel()
	g.wg.Wait()
}

// Wait waits until every goroutine has returned, without cancelling the context.
func (g *Group) Wait() { g.wg.Wait() }
