// Package group starts goroutines that can all be waited for.
package group

import (
	"context"
	"sync"
)

// Group owns a set of goroutines that share one context. Close cancels the
// context and waits until every goroutine has returned.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewGroup returns a group whose context is a child of parent.
func NewGroup(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Context returns the context that Close cancels.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs f in a goroutine of the group, with the group's context.
func (g *Group) Go(f func(ctx context.Context)) {
	g.wg.Go(func() { f(g.ctx) })
}

// Close cancels the group's context and waits for every goroutine.
func (g *Group) Close() {
	g.cancel()
	g.wg.Wait()
}

// Wait waits for every goroutine without cancelling the context.
func (g *Group) Wait() { g.wg.Wait() }
