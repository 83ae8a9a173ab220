package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/calls"
	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/keys"
)

type (
	// anyKey takes every key for the team's.
	anyKey struct{}

	// oneTeam is a text with one team.
	oneTeam struct{}
)

func (anyKey) Check(string) (keys.Identity, error) { return keys.Identity{Team: "fes"}, nil }

func (anyKey) Register(keys.Hash, func()) (release func(), err error) { return func() {}, nil }

func (oneTeam) Text() *conf.Text {
	return &conf.Text{
		Teams:    []conf.Team{{Name: "fes"}},
		Services: []conf.Service{{Name: "booking", Kind: conf.KindPlain, Routes: []conf.Route{{Path: "/look", Repeatable: true}, {Path: "/reserve"}}}},
	}
}

// Guards against a caller that sends half a body and keeps a drain from its end.
func TestHalfABodyEndsWithTheDrain(t *testing.T) {
	tests := []struct {
		path   string
		status int
		state  calls.RunState
	}{
		{"/v1/programs", http.StatusServiceUnavailable, calls.NotRun},
		{"/v1/chat/completions", http.StatusServiceUnavailable, calls.NotRun},
		{"/v1/services/booking/look", http.StatusServiceUnavailable, calls.NotRun},
		// An earlier transmission with the key may have run.
		{"/v1/services/booking/reserve", http.StatusServiceUnavailable, calls.Unknown},
		// The server reads the body of a request that is refused without it.
		{"/none", http.StatusNotFound, calls.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.path, func(t *testing.T) {
			s, err := NewServer(common.NewCommon(hclog.NewNullLogger(), conf.DefaultSettings()), "127.0.0.1:0",
				anyKey{}, anyKey{}, oneTeam{}, &stopHealth{}, nil, nil, nil)
			assert.NilError(t, err)
			s.Start()
			conn, err := net.Dial("tcp", s.Address())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\nIdempotency-Key: one\r\nContent-Length: 9\r\n\r\nhalf", tt.path)
			assert.NilError(t, err)
			time.Sleep(100 * time.Millisecond)
			took := shutdown(t, s, 5*time.Second)
			s.EndCalls(time.Now().Add(500 * time.Millisecond))
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(4*time.Second)))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			var body refusalBody
			assert.NilError(t, json.NewDecoder(resp.Body).Decode(&body))
			assert.Equal(t, resp.StatusCode, tt.status)
			assert.Equal(t, body.Error.RunState, tt.state)
			assert.Assert(t, <-took < 2*time.Second)
		})
	}
}

// Guards against a caller that reads nothing of its answer and keeps a drain from its
// end.
func TestUnreadAnswerEndsWithTheDrain(t *testing.T) {
	s, err := NewServer(common.NewCommon(hclog.NewNullLogger(), conf.DefaultSettings()), "127.0.0.1:0", nil, nil, nil, &stopHealth{}, nil, nil, nil)
	assert.NilError(t, err)
	ended := make(chan error, 1)
	s.server.Handler = s.instrument(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		text := []byte(strings.Repeat("x", 1<<20))
		for {
			if _, err := w.Write(text); err != nil {
				ended <- err
				return
			}
		}
	}))
	s.Start()
	conn, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(100 * time.Millisecond)
	took := shutdown(t, s, 5*time.Second)
	s.EndCalls(time.Now().Add(500 * time.Millisecond))
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	select {
	case <-ended:
	case <-ctx.Done():
		t.Error("the answer is still being written")
	}
	assert.Assert(t, <-took < 3*time.Second)
}
