package relay

import (
	"net"
	"sync"

	"github.com/juju/errors"
)

// errResent means that net/http sends a request again that was sent before.
const errResent = errors.ConstError("request sent again")

// conn is a connection to an upstream. One request at a time uses it.
type conn struct {
	net.Conn

	mu sync.Mutex
	// sent is set once anything of the request in progress was sent.
	sent bool
	// resent is set if the request in progress was sent on another connection before.
	resent bool
	// readErr is why nothing more can be received.
	readErr error
}

// begin makes the connection ready for another request.
func (c *conn) begin(resent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent, c.resent = false, resent
}

// Write sends bytes of the request in progress.
func (c *conn) Write(b []byte) (int, error) {
	if c.isResent() {
		// A byte that counts as written keeps net/http from trying yet another connection.
		return 1, errResent
	}
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.noteSent()
	}
	return n, err
}

// Read receives bytes of responses.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.readErr = err
	}
	return n, err
}

func (c *conn) isResent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resent
}

func (c *conn) noteSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = true
}

// state returns whether anything of the request in progress was sent, and why nothing
// more can be received.
func (c *conn) state() (sent bool, readErr error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent, c.readErr
}
