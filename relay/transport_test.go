package relay_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/relay"
)

// limitedConn accepts as many bytes as it has left, then its writes fail.
type limitedConn struct {
	net.Conn
	left int
}

func (c *limitedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b[:min(c.left, len(b))])
	c.left -= n
	if err == nil && n < len(b) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// Guards against taking a request for sent, or for not sent, that isn't.
func TestErrorTellsWhetherAnythingWasSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, l.Close()) })
	tests := []struct {
		name  string
		bytes int
		want  bool
	}{
		{"nothing", 0, false},
		{"one byte", 1, true},
		{"a part of the head", 20, true},
	}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, tt := range tests {
			t.Run(method+" "+tt.name, func(t *testing.T) {
				transport := relay.NewTransport(relay.NewDefaultDialer())
				t.Cleanup(transport.CloseIdleConnections)
				dial := transport.DialContext
				transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := dial(ctx, network, address)
					return &limitedConn{conn, tt.bytes}, err
				}
				req, err := http.NewRequestWithContext(t.Context(), method, "http://"+l.Addr().String(), strings.NewReader("body"))
				assert.NilError(t, err)
				resp, err := transport.RoundTrip(req)
				if err == nil {
					_ = resp.Body.Close()
				}
				assert.Assert(t, err != nil)
				assert.Equal(t, !errors.Is(err, relay.ErrNotSent), tt.want, "%v", err)
			})
		}
	}
}
