package front

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/proxy"
)

const (
	// closeTime is how long the close of all connections in a state takes if they are
	// many, and closePause the time between two batches.
	closeTime  = 200 * time.Millisecond
	closePause = 2 * time.Millisecond
	// minCloseBatch is how many connections a batch has at least.
	minCloseBatch = 8
)

type (
	// callerConns tracks the callers' connections and closes those without a request
	// in a planned stop. Whether a connection is closed or its request accepted is
	// decided under one lock, so that no request is passed on whose answer has no
	// connection left.
	callerConns struct {
		mu    sync.Mutex
		conns map[net.Conn]*callerConn
		// closing are the states in which connections are closed from now on.
		closing map[http.ConnState]bool
		// dropped counts requests that crossed the close of their connection.
		dropped int
	}

	// callerConn is one connection of a caller.
	callerConn struct {
		proxy.CallerConn
		state http.ConnState
		// since is when the state began, on the clock of common.Uptime.
		since  time.Duration
		closed bool
	}

	// connCounts counts the callers' connections by state: fresh ones were accepted
	// and have sent no request yet.
	connCounts struct {
		fresh, active, idle int
		// dropped counts requests that crossed the close of their connection.
		dropped int
	}

	// callerConnKey is the context key of a callerConn.
	callerConnKey struct{}
)

func newCallerConns() *callerConns {
	return &callerConns{conns: make(map[net.Conn]*callerConn), closing: make(map[http.ConnState]bool)}
}

// handler passes requests to the next handler unless their connection was closed
// before they were read.
func (c *callerConns) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		caller, ok := r.Context().Value(callerConnKey{}).(*callerConn)
		if ok && !c.begin(caller) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// begin reports whether a request of the connection may be handled.
func (c *callerConns) begin(caller *callerConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if caller.closed {
		c.dropped++
		return false
	}
	// The server doesn't report a request that it had read together with the one
	// before.
	caller.enter(http.StateActive)
	return true
}

// connContext is the server's hook for a new connection's context.
func (c *callerConns) connContext(ctx context.Context, conn net.Conn) context.Context {
	caller := &callerConn{state: http.StateNew, since: common.Uptime()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[conn] = caller
	return proxy.WithCallerConn(context.WithValue(ctx, callerConnKey{}, caller), &caller.CallerConn)
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
	}
	caller.enter(state)
	if c.closing[state] {
		caller.close(conn)
	}
}

// enter changes the connection's state.
func (c *callerConn) enter(state http.ConnState) {
	if c.state == state {
		return
	}
	now := common.Uptime()
	if state == http.StateActive {
		c.Requests++
		c.Waited = now - c.since
	}
	c.state, c.since = state, now
}

func (c *callerConn) close(conn net.Conn) {
	if c.closed {
		return
	}
	c.closed = true
	// The server reports the close again and logs nothing about it.
	_ = conn.Close()
}

// closeAll closes the connections in the state, now and whenever one enters it. It
// pauses after each batch, so that requests which have arrived meanwhile are read and
// answered instead of being dropped.
func (c *callerConns) closeAll(ctx context.Context, state http.ConnState) {
	c.mu.Lock()
	c.closing[state] = true
	conns := slices.Collect(maps.Keys(c.conns))
	c.mu.Unlock()
	for batch := range slices.Chunk(conns, closeBatchSize(len(conns))) {
		if c.closeBatch(batch, state) > 0 {
			group.Sleep(ctx, closePause)
		}
	}
}

// closeBatchSize returns how many of the connections are closed at a time.
func closeBatchSize(conns int) int {
	batches := int(closeTime / closePause)
	return max(minCloseBatch, (conns+batches-1)/batches)
}

// closeBatch closes those of the connections that are in the state and returns their
// number.
func (c *callerConns) closeBatch(batch []net.Conn, state http.ConnState) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := 0
	for _, conn := range batch {
		if caller, ok := c.conns[conn]; ok && caller.state == state && !caller.closed {
			caller.close(conn)
			closed++
		}
	}
	return closed
}

func (c *callerConns) counts() connCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := connCounts{dropped: c.dropped}
	for _, caller := range c.conns {
		switch {
		case caller.closed:
		case caller.state == http.StateNew:
			n.fresh++
		case caller.state == http.StateActive:
			n.active++
		case caller.state == http.StateIdle:
			n.idle++
		}
	}
	return n
}
