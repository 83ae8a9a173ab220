package relay_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/relay"
)

// lateConn is a connection whose reader learns late that the remote side closed it.
type lateConn struct{ *net.TCPConn }

func (c lateConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if err != nil {
		time.Sleep(200 * time.Millisecond)
	}
	return n, err
}

// send returns the error and the status of one request with a body that can be read
// again.
func send(t *testing.T, transport *relay.Transport, url string) (int, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("body"))
	assert.NilError(t, err)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// countConns starts a server that counts its connections.
func countConns(t *testing.T, handler http.HandlerFunc) (url string, conns *atomic.Int64) {
	t.Helper()
	conns = new(atomic.Int64)
	server := httptest.NewUnstartedServer(handler)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.URL, conns
}

// Guards against the use of a connection that its upstream is about to close.
func TestIdleTimeoutIsKept(t *testing.T) {
	tests := []struct {
		name   string
		field  string
		idle   time.Duration
		reused bool
	}{
		{"none is told", "", 900 * time.Millisecond, true},
		{"not yet over", "timeout=1", 500 * time.Millisecond, true},
		{"nearly over", "timeout=1", 900 * time.Millisecond, false},
		{"longer", "timeout=2", 900 * time.Millisecond, true},
		{"among other parameters", "max=100, Timeout = 1", 900 * time.Millisecond, false},
		{"no whole second", "timeout=0", 0, false},
		{"no number", "timeout=soon", 900 * time.Millisecond, true},
		{"no duration", "timeout=99999999999", 900 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			url, conns := countConns(t, func(w http.ResponseWriter, _ *http.Request) {
				if tt.field != "" {
					w.Header().Set("Keep-Alive", tt.field)
				}
			})
			transport := relay.NewTransport(relay.NewDefaultDialer())
			t.Cleanup(transport.CloseIdleConnections)
			for range 2 {
				status, err := send(t, transport, url)
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK)
				time.Sleep(tt.idle)
			}
			assert.Equal(t, conns.Load() == 1, tt.reused, "%d connections", conns.Load())
		})
	}
}

// Guards against sending a request on a connection that its upstream has closed, before
// the connection's reader notices.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 1)
	url, conns := countConns(t, func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		_ = buffered.Flush()
		_ = conn.Close()
		closed <- struct{}{}
	})
	transport := relay.NewTransport(relay.NewDefaultDialer())
	t.Cleanup(transport.CloseIdleConnections)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return lateConn{conn.(*net.TCPConn)}, nil
	}
	for i := range 3 {
		status, err := send(t, transport, url)
		assert.NilError(t, err, "request %d", i)
		assert.Equal(t, status, http.StatusOK)
		<-closed
	}
	assert.Equal(t, conns.Load(), int64(3))
}

// Guards against failed requests where upstreams close connections as the next request
// is about to be sent.
func TestConnectionsClosedAtAnyMoment(t *testing.T) {
	const requests = 2000
	url, _ := countConns(t, func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		_ = buffered.Flush()
		_ = conn.Close()
	})
	transport := relay.NewTransport(relay.NewDefaultDialer())
	t.Cleanup(transport.CloseIdleConnections)
	sent := 0
	for range requests {
		_, err := send(t, transport, url)
		assert.Assert(t, !errors.Is(err, relay.ErrNotSent), "%v", err)
		if err != nil {
			sent++
		}
	}
	t.Logf("%d of %d requests were sent on connections that were being closed", sent, requests)
}

// Guards against the use of a connection that was opened in advance and that its upstream
// may have kept for as long as it keeps idle ones.
func TestConnectionOpenedInAdvanceGrowsOld(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	var mu sync.Mutex
	used := make(map[string]bool)
	url, conns := countConns(t, func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		used[r.RemoteAddr] = true
		mu.Unlock()
		if r.URL.Path == "/slow" {
			close(arrived)
			<-proceed
		}
	})
	transport := relay.NewTransport(relay.NewDefaultDialer())
	t.Cleanup(transport.CloseIdleConnections)
	dial := transport.DialContext
	opening, open := make(chan struct{}, 1), make(chan struct{})
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if conns.Load() > 0 {
			opening <- struct{}{}
			<-open
		}
		return dial(ctx, network, address)
	}
	g := group.NewGroup(t.Context())
	for _, path := range []string{"/slow", "/"} {
		g.Go(func(context.Context) {
			_, err := send(t, transport, url+path)
			assert.Check(t, err)
		})
		if path == "/slow" {
			<-arrived
		}
	}
	<-opening
	close(proceed)
	g.Wait()
	close(open)
	time.Sleep(900 * time.Millisecond)
	assert.Equal(t, conns.Load(), int64(2))
	_, err := send(t, transport, url)
	assert.NilError(t, err)
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, len(used), 1)
}
