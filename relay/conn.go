package relay

import (
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/buckthorntide/buckthorntide/common"
)

const (
	// errResent means that net/http sends a request again that was sent before.
	errResent = errors.ConstError("request sent again")
	// errIdle means that the upstream may close the connection before a request
	// arrives.
	errIdle = errors.ConstError("connection idle for too long")
	// errUnexpected means that the upstream sent something, or closed the connection,
	// before the request was sent.
	errUnexpected = errors.ConstError("input without a request")
	// errRefused means that a request with the same ID was refused on the connection.
	errRefused = errors.ConstError("request was refused on this connection")
	// errRefusals means that too many requests were refused on the connection to
	// remember more.
	errRefusals = errors.ConstError("too many requests were refused on this connection")

	// idleMargin is the last part of the idle timeout, in which a connection is no longer
	// used. The upstream's timeout starts before its answer arrives and runs until
	// the next request does.
	idleMargin = 200 * time.Millisecond
	// unusedTimeout is the idle timeout of a connection without an answer: the
	// shortest one that an upstream can announce.
	unusedTimeout = time.Second
	// maxRefusals is how many refused requests a connection remembers before it is no
	// longer used.
	maxRefusals = 64
)

// conn is a connection to an upstream. One request at a time uses it.
type conn struct {
	net.Conn
	// claim is held by a request until the head of its answer was checked. net/http
	// gives the connection of an answer without a body to the next request before that.
	claim sync.Mutex

	// writing is held during a write; writeFailed is set after one that failed.
	writing     sync.Mutex
	writeFailed bool

	mu sync.Mutex
	// begun is set once the request in progress may be sent, sent once anything of it
	// was.
	begun, sent bool
	// resent is set if the request in progress was sent on another connection before.
	resent bool
	// id is the hash of the ID of the request in progress, refusals are those of requests
	// that were refused here.
	id       uint64
	refusals []uint64
	// broken is why no further request can be answered.
	broken error
	// receivedAt is when anything was received last, on the clock of common.Uptime.
	receivedAt time.Duration
	// idleTimeout is how long the upstream keeps the connection without a request.
	idleTimeout time.Duration
}

func newConn(opened net.Conn) *conn {
	return &conn{Conn: opened, receivedAt: common.Uptime(), idleTimeout: unusedTimeout}
}

// begin makes the connection ready for another request, which must call end.
func (c *conn) begin(id string, resent bool) {
	c.claim.Lock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.id, c.begun, c.sent, c.resent = xxhash.Sum64String(id), false, false, resent
}

// end lets the next request begin.
func (c *conn) end() { c.claim.Unlock() }

// Write sends bytes of the request in progress.
func (c *conn) Write(b []byte) (int, error) {
	switch err := c.check(); {
	case errors.Is(err, errResent):
		// A byte that counts as written keeps net/http from trying yet another connection.
		return 1, err
	case err != nil:
		return 0, err
	}
	n, err := c.write(b)
	if n > 0 {
		c.noteSent()
	}
	return n, err
}

func (c *conn) write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	c.writeFailed = c.writeFailed || err != nil
	return n, err
}

// Read receives bytes of answers.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.writeHasFailed() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.receivedAt = common.Uptime()
	}
	switch {
	case c.broken != nil:
	case err != nil:
		c.broken = err
	case !c.begun:
		c.broken = errUnexpected
	}
	return n, err
}

// writeHasFailed waits for a write in progress. The kernel reports a reset once: if it
// ends a write, a read at the same time finds the regular end of the connection, which
// would complete an answer without a length.
func (c *conn) writeHasFailed() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeFailed
}

// check returns why the request in progress must not be sent, or nil.
func (c *conn) check() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.resent:
		return errResent
	case c.begun:
		return nil
	case c.broken != nil:
		return c.broken
	case common.Uptime()-c.receivedAt >= c.idleTimeout-idleMargin:
		return errIdle
	case hasInput(c.Conn):
		return errUnexpected
	case slices.Contains(c.refusals, c.id):
		// The upstream may send that refusal once more, where it can't be told from the
		// answer to this request.
		return errRefused
	}
	c.begun = true
	return nil
}

// withdraw keeps the request in progress from being sent, and returns false if it may have
// been.
func (c *conn) withdraw() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun {
		return false
	}
	c.fail(errUnexpected)
	return true
}

// reject ends the use of the connection, which has bytes of other requests.
func (c *conn) reject() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(errUnexpected)
}

// fail closes the connection; the caller holds mu.
func (c *conn) fail(reason error) {
	if c.broken == nil {
		c.broken = reason
	}
	_ = c.Close()
}

func (c *conn) noteSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = true
}

// noteRefusal records that the request in progress was refused.
func (c *conn) noteRefusal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusals = append(c.refusals, c.id)
	if len(c.refusals) >= maxRefusals && c.broken == nil {
		c.broken = errRefusals
	}
}

// noteAnswer learns from the header of an answer how long the connection is kept.
func (c *conn) noteAnswer(header http.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleTimeout = keepAliveTimeout(header)
}

// state returns whether anything of the request in progress was sent, and why no further
// request can be answered.
func (c *conn) state() (sent bool, broken error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent, c.broken
}

// hasInput reports whether the connection has input, or its end, that no reader has seen
// yet. It returns false for a connection without a file descriptor.
func hasInput(opened net.Conn) bool {
	system, ok := opened.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return true
	}
	ready := true
	err = raw.Control(func(fd uintptr) {
		n, err := 0, error(unix.EINTR)
		for errors.Is(err, unix.EINTR) {
			n, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		}
		ready = err != nil || n > 0
	})
	return err != nil || ready
}
