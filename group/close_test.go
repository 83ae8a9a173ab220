package group_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/group"
)

// TestCloseWhileGoroutinesStart guards against a goroutine that starts while
// Close waits and then outlives it, as the control thread's ticks did while a
// member closed.
func TestCloseWhileGoroutinesStart(t *testing.T) {
	for range 200 {
		g := group.NewGroup(context.Background())
		var running atomic.Int32
		var starter sync.WaitGroup
		starter.Go(func() {
			for range 100 {
				g.Go(func(ctx context.Context) {
					running.Add(1)
					<-ctx.Done()
					running.Add(-1)
				})
			}
		})
		g.Close()
		assert.Equal(t, running.Load(), int32(0))
		starter.Wait()
		assert.Equal(t, running.Load(), int32(0))
		assert.Assert(t, !g.Go(func(context.Context) {}))
	}
}
