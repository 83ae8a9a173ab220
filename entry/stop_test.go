package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/group"
)

// stopHealth is the health of an instance that may be draining.
type stopHealth struct{ draining atomic.Bool }

func (*stopHealth) NotReadyReason() string { return "" }
func (h *stopHealth) Draining() bool       { return h.draining.Load() }
func (*stopHealth) RefusalReason() string  { return "" }

// shutdown stops the server with a deadline; the channel gets the time that it took.
func shutdown(t *testing.T, s *Server, timeout time.Duration) <-chan time.Duration {
	t.Helper()
	took := make(chan time.Duration, 1)
	g := group.NewGroup(context.Background())
	t.Cleanup(g.Wait)
	g.Go(func(context.Context) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		start := time.Now()
		if err := s.Shutdown(ctx); err != nil {
			t.Log(err)
		}
		s.Close()
		took <- time.Since(start)
	})
	return took
}

// awaitFresh waits until the server has accepted a connection: the kernel resets those
// that are not accepted yet when the listener closes.
func awaitFresh(t *testing.T, s *Server) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.server.Counts().Fresh == 1 {
			return poll.Success()
		}
		return poll.Continue("no connection is accepted yet")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// Guards against a first request of a new connection that is read after the server
// began to shut down and is dropped without an answer.
func TestFirstRequestDuringShutdownIsAnswered(t *testing.T) {
	h := &stopHealth{}
	s, err := NewServer(common.NewCommon(hclog.NewNullLogger(), conf.DefaultSettings()), "127.0.0.1:0", nil, nil, nil, h, nil, nil, nil)
	assert.NilError(t, err)
	s.Start()
	conn, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	awaitFresh(t, s)
	h.draining.Store(true)
	took := shutdown(t, s, 10*time.Second)
	time.Sleep(200 * time.Millisecond)
	reader := bufio.NewReader(conn)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
	if _, err = reader.Peek(1); errors.Is(err, io.EOF) {
		// The server closed the connection before it got a request.
		<-took
		return
	}
	assert.NilError(t, conn.SetReadDeadline(time.Time{}))
	_, err = io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(reader, nil)
	t.Logf("shutdown took %v", <-took)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
}

// Guards against a shutdown that waits for a connection on which nothing is sent.
func TestSilentConnectionDoesNotProlongShutdown(t *testing.T) {
	s, err := NewServer(common.NewCommon(hclog.NewNullLogger(), conf.DefaultSettings()), "127.0.0.1:0", nil, nil, nil, &stopHealth{}, nil, nil, nil)
	assert.NilError(t, err)
	s.Start()
	conn, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	time.Sleep(100 * time.Millisecond)
	lasted := <-shutdown(t, s, 20*time.Second)
	assert.Assert(t, lasted < 2*time.Second, "the shutdown took %v", lasted)
}

// Guards against an answer that began before a drain and keeps its connection: its
// caller sends the next request to an instance that stops.
func TestAnswerInDrainClosesItsConnection(t *testing.T) {
	h := &stopHealth{}
	s, err := NewServer(common.NewCommon(hclog.NewNullLogger(), conf.DefaultSettings()), "127.0.0.1:0", nil, nil, nil, h, nil, nil, nil)
	assert.NilError(t, err)
	s.server.Handler = s.instrument(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		h.draining.Store(true)
		writeJSON(w, http.StatusOK, nil)
	}))
	s.Start()
	defer s.Close()
	resp, err := http.Get("http://" + s.Address())
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Assert(t, resp.Close, "the answer keeps its connection")
}
