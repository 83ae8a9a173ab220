package ctrl_test

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/ctrl"
	"github.com/buckthorntide/buckthorntide/group"
)

// counter is control state without a lock, so that the race detector reports an
// access from a second goroutine.
type counter struct {
	ticks  int
	posted int
	ticked chan struct{}
}

func (c *counter) Tick(time.Time) {
	c.ticks++
	if c.ticks == 1 {
		close(c.ticked)
	}
}

func TestControlStateHasOneGoroutine(t *testing.T) {
	const posts = 100
	c := &counter{ticked: make(chan struct{})}
	thread := ctrl.NewThread(common.NewCommon(hclog.NewNullLogger(), conf.DefaultSettings()), time.Millisecond, c)
	thread.Start()
	callers := group.NewGroup(t.Context())
	for range posts {
		callers.Go(func(ctx context.Context) {
			_ = thread.Do(ctx, func(time.Time) { c.posted++ })
		})
	}
	callers.Wait()
	<-c.ticked
	thread.Close()
	assert.Equal(t, c.posted, posts)
	err := thread.Do(t.Context(), func(time.Time) {})
	assert.Assert(t, errors.Is(err, ctrl.ErrStopped), "%v", err)
}
