package relay

import (
	"context"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/group"
)

// Guards against taking a signal, such as those by which the Go runtime preempts
// goroutines, for input: a sound connection was then refused.
func TestSignalIsNoInput(t *testing.T) {
	const checks = 200_000
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	g := group.NewGroup(t.Context())
	t.Cleanup(g.Close)
	for range 2 {
		g.Go(func(ctx context.Context) {
			for ctx.Err() == nil {
				_ = syscall.Kill(syscall.Getpid(), syscall.SIGURG)
			}
		})
	}
	for i := range checks {
		assert.Assert(t, !hasInput(conn), "check %d found input", i)
	}
}
