package front

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/buckthorntide/buckthorntide/common"
)

// callerConns tracks the callers' connections that have a request or may be about
// to send their first one.
type callerConns struct {
	mu   sync.Mutex
	busy map[net.Conn]busyConn
}

type busyConn struct {
	// accepted is when the connection was accepted, if it had no request yet.
	accepted time.Duration
	active   bool
}

func newCallerConns() *callerConns { return &callerConns{busy: make(map[net.Conn]busyConn)} }

// setState is the server's hook for changes of a connection's state.
func (c *callerConns) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.busy[conn] = busyConn{accepted: common.Uptime()}
	case http.StateActive:
		c.busy[conn] = busyConn{active: true}
	default:
		delete(c.busy, conn)
	}
}

// pending reports whether a request is in progress, or may still arrive on a
// connection that was accepted less than the time ago.
func (c *callerConns) pending(firstRequest time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := common.Uptime()
	for _, b := range c.busy {
		if b.active || now-b.accepted < firstRequest {
			return true
		}
	}
	return false
}
