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
		// limit bounds the open connections; 0 means none. live are those that are open and
		// not closed here, displaced those that were closed at the limit.
		limit     int
		live      int
		displaced int
		// noteDisplaced is called after a connection was closed at the limit, if it is set.
		noteDisplaced func(total int)
	}

	// conn is one connection. Its Info is updated before each request and doesn't
	// change while one is in progress.
	conn struct {
		Info
		conns *conns
		state http.ConnState
		// since is when the state began, on the clock of common.Uptime.
		since  time.Duration
		closed bool
		// complete is set once the request in progress was read whole.
		complete bool
	}

	// Counts counts a server's connections by state: fresh ones were accepted and
	// have sent no request yet.
	Counts struct {
		Fresh, Active, Idle int
		// Dropped counts requests that crossed the close of their connection.
		Dropped int
		// Displaced counts connections that were closed because there were too many.
		Displaced int
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
	one.complete = false
	return true
}

// connContext is the server's hook for a new connection's context.
func (c *conns) connContext(ctx context.Context, netConn net.Conn) context.Context {
	one := &conn{conns: c, state: http.StateNew, since: common.Uptime()}
	if total := c.add(netConn, one); total > 0 && c.noteDisplaced != nil {
		c.noteDisplaced(total)
	}
	return context.WithValue(ctx, connKey{}, one)
}

// add adds a new connection. At the limit it closes another one, or the new one if all others
// have a request in progress, and returns how many were closed so far, or else 0.
func (c *conns) add(netConn net.Conn, one *conn) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	displaced := 0
	if c.limit > 0 && c.live >= c.limit {
		c.displaced++
		displaced = c.displaced
		if old, found := c.leastUseful(); found != nil {
			c.close(old, found)
		} else {
			defer c.close(netConn, one)
		}
	}
	c.open[netConn] = one
	c.live++
	return displaced
}

// leastUseful returns the connection that has been idle longest or, without any, the one that
// has gone longest without a whole request. It returns nil if all have one in progress.
func (c *conns) leastUseful() (net.Conn, *conn) {
	var oldest net.Conn
	var least *conn
	for netConn, one := range c.open {
		if one.closed || one.state == http.StateActive && one.complete {
			continue
		}
		idle, leastIdle := one.state == http.StateIdle, least != nil && least.state == http.StateIdle
		if least == nil || idle && !leastIdle || idle == leastIdle && one.since < least.since {
			oldest, least = netConn, one
		}
	}
	return oldest, least
}

// noteRead records that the connection's request was read whole.
func (c *conns) noteRead(one *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	one.complete = true
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
		if !one.closed {
			c.live--
		}
		return
	}
	one.enter(state)
	if c.closing[state] {
		c.close(netConn, one)
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

func (c *conns) close(netConn net.Conn, one *conn) {
	if one.closed {
		return
	}
	one.closed = true
	c.live--
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
			c.close(netConn, one)
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
	n := Counts{Dropped: c.dropped, Displaced: c.displaced}
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
