package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/proxy"
)

type (
	// callerConns tracks the callers' connections.
	callerConns struct {
		mu    sync.Mutex
		conns map[net.Conn]*callerConn
	}

	// callerConn is one connection of a caller.
	callerConn struct {
		proxy.CallerConn
		state http.ConnState
		// since is when the state began, on the clock of common.Uptime.
		since time.Duration
	}

	// connCounts counts the callers' connections by state: fresh ones were accepted
	// and have sent no request yet.
	connCounts struct {
		fresh, active, idle int
	}
)

func newCallerConns() *callerConns { return &callerConns{conns: make(map[net.Conn]*callerConn)} }

// connContext is the server's hook for a new connection's context.
func (c *callerConns) connContext(ctx context.Context, conn net.Conn) context.Context {
	caller := &callerConn{state: http.StateNew, since: common.Uptime()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[conn] = caller
	return proxy.WithCallerConn(ctx, &caller.CallerConn)
}

// setState is the server's hook for changes of a connection's state.
func (c *callerConns) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	caller, ok := c.conns[conn]
	switch {
	case !ok:
		return
	case state == http.StateClosed || state == http.StateHijacked:
		delete(c.conns, conn)
		return
	case state == http.StateActive:
		caller.Requests++
		caller.Waited = common.Uptime() - caller.since
	}
	caller.state, caller.since = state, common.Uptime()
}

// pending reports whether a request is in progress, or may still arrive on a
// connection that was accepted less than the time ago.
func (c *callerConns) pending(firstRequest time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := common.Uptime()
	for _, caller := range c.conns {
		if caller.state == http.StateActive || caller.state == http.StateNew && now-caller.since < firstRequest {
			return true
		}
	}
	return false
}

func (c *callerConns) counts() connCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var n connCounts
	for _, caller := range c.conns {
		switch caller.state {
		case http.StateNew:
			n.fresh++
		case http.StateActive:
			n.active++
		case http.StateIdle:
			n.idle++
		default:
		}
	}
	return n
}
