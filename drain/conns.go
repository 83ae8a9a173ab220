package drain

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
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
	// conns tracks a server's connections and closes those without a request in a
	// planned stop. Whether a connection is closed or its request accepted is decided
	// under one lock, so that no request is handled whose answer has no connection
	// left.
	conns struct {
		mu   sync.Mutex
		open map[net.Conn]*conn
		// closing are the states in which connections are closed from now on.
		closing map[http.ConnState]bool
		// dropped counts requests that crossed the close of their connection.
		dropped int
	}

	// conn is one connection. Its Info is updated before each request and doesn't
	// change while one is in progress.
	conn struct {
		Info
		state http.ConnState
		// since is when the state began, on the clock of common.Uptime.
		since  time.Duration
		closed bool
	}

	// Counts counts a server's connections by state: fresh ones were accepted and
	// have sent no request yet.
	Counts struct {
		Fresh, Active, Idle int
		// Dropped counts requests that crossed the close of their connection.
		Dropped int
	}
)

func newConns() *conns {
	return &conns{open: make(map[net.Conn]*conn), closing: make(map[http.ConnState]bool)}
}

// handler passes requests to the next handler unless their connection was closed
// before they were read.
func (c *conns) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		one, ok := r.Context().Value(connKey{}).(*conn)
		if ok && !c.begin(one) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// begin reports whether a request of the connection may be handled.
func (c *conns) begin(one *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if one.closed {
		c.dropped++
		return false
	}
	// The server doesn't report a request that it had read together with the one
	// before.
	one.enter(http.StateActive)
	return true
}

// connContext is the server's hook for a new connection's context.
func (c *conns) connContext(ctx context.Context, netConn net.Conn) context.Context {
	one := &conn{state: http.StateNew, since: common.Uptime()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[netConn] = one
	return context.WithValue(ctx, connKey{}, one)
}

// setState is the server's hook for changes of a connection's state.
func (c *conns) setState(netConn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	one, ok := c.open[netConn]
	switch {
	case !ok:
		return
	case state == http.StateClosed || state == http.StateHijacked:
		delete(c.open, netConn)
		return
	}
	one.enter(state)
	if c.closing[state] {
		one.close(netConn)
	}
}

// enter changes the connection's state.
func (c *conn) enter(state http.ConnState) {
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

func (c *conn) close(netConn net.Conn) {
	if c.closed {
		return
	}
	c.closed = true
	// The server reports the close again and logs nothing about it.
	_ = netConn.Close()
}

// closeAll closes the connections in the state, now and whenever one enters it. It
// pauses after each batch, so that requests which have arrived meanwhile are read and
// answered instead of being dropped.
func (c *conns) closeAll(ctx context.Context, state http.ConnState) {
	c.mu.Lock()
	c.closing[state] = true
	open := slices.Collect(maps.Keys(c.open))
	c.mu.Unlock()
	for batch := range slices.Chunk(open, closeBatchSize(len(open))) {
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
func (c *conns) closeBatch(batch []net.Conn, state http.ConnState) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := 0
	for _, netConn := range batch {
		if one, ok := c.open[netConn]; ok && one.state == state && !one.closed {
			one.close(netConn)
			closed++
		}
	}
	return closed
}

// endTransfers sets the deadlines of all connections. It returns one of the errors.
func (c *conns) endTransfers(writeBy time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var failed error
	for netConn, one := range c.open {
		if one.closed {
			continue
		}
		if err := netConn.SetReadDeadline(time.Now()); err != nil {
			failed = err
		}
		if err := netConn.SetWriteDeadline(writeBy); err != nil {
			failed = err
		}
	}
	return errors.Trace(failed)
}

func (c *conns) counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := Counts{Dropped: c.dropped}
	for _, one := range c.open {
		switch {
		case one.closed:
		case one.state == http.StateNew:
			n.Fresh++
		case one.state == http.StateActive:
			n.Active++
		case one.state == http.StateIdle:
			n.Idle++
		}
	}
	return n
}
