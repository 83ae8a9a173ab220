package relay

import (
	"net"
	"sync/atomic"
)

// conn is a connection to an upstream. One request at a time uses it.
type conn struct {
	net.Conn
	// sent is set once anything of the request in progress was sent.
	sent atomic.Bool
}

// begin makes the connection ready for another request.
func (c *conn) begin() { c.sent.Store(false) }

// Write sends bytes of the request in progress.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.sent.Store(true)
	}
	return n, err
}
