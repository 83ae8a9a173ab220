package relay

import (
	"cmp"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// probeInterval is the idle time before the first keep-alive probe of a
	// connection and between probes. It is the kernel's minimum.
	probeInterval = time.Second
	// probeCount is how many unanswered probes close a connection. Callers give
	// up a silent stream after two seconds at the earliest.
	probeCount = 1
)

// NewDialer returns a dialer with a timeout for the connect and one for the TCP
// acknowledgement of sent data. Without the latter a host that lost power or is
// partitioned blocks its callers for minutes. Errors of such connections are
// timeouts.
func NewDialer(dialTimeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeInterval,
			Interval: probeInterval,
			Count:    probeCount,
		},
		Control: func(_, _ string, conn syscall.RawConn) error {
			var optionErr error
			err := conn.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			return errors.Trace(cmp.Or(err, optionErr))
		},
	}
}

// NewDefaultDialer returns a dialer whose timeouts suit upstreams in any region.
func NewDefaultDialer() *net.Dialer { return NewDialer(connectTimeout, unackedTimeout) }

// IsTimeout reports whether the error is a connection-level timeout, rather than
// a connection that the remote side refused or closed.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
