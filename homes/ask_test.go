package homes_test

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/homes"
	"github.com/buckthorntide/buckthorntide/peer"
)

type (
	// locator is a fake that returns one place as the home of all shards.
	locator struct{ place atomic.Pointer[homes.Place] }

	request struct {
		Sent   int
		Resent bool
	}

	reply struct{ By string }
)

var method = peer.Method[request, reply]{Name: "Test"}

func (l *locator) Locate(uint8) (homes.Place, bool) {
	p := l.place.Load()
	if p == nil {
		return homes.Place{}, false
	}
	return *p, true
}

func newRouter(t *testing.T, l *locator) *homes.Router {
	t.Helper()
	conns := peer.NewConns(metrics.NewRegistry())
	t.Cleanup(conns.Close)
	return homes.NewRouter(l, conns)
}

// TestAskRetriesAtNewHome guards against requests that stay with an unreachable
// home: the first attempt fails and the shard moves to this instance.
func TestAskRetriesAtNewHome(t *testing.T) {
	l := &locator{}
	l.place.Store(&homes.Place{Instance: "gone", Address: "127.0.0.1:1"})
	call := homes.Call[request, reply]{
		Method: method,
		Local:  func(context.Context, *request) (*reply, error) { return &reply{By: "here"}, nil },
		Resend: func(q *request) {
			q.Resent = true
			l.place.Store(&homes.Place{Instance: "here", Self: true})
		},
	}
	q := &request{}
	got, err := call.Send(t.Context(), newRouter(t, l), 0, q)
	assert.NilError(t, err)
	assert.Equal(t, got.By, "here")
	assert.Assert(t, q.Resent)
}

// TestAskRetriesAfterNotHome guards against requests that fail because the home
// lacks its authority for a moment.
func TestAskRetriesAfterNotHome(t *testing.T) {
	l := &locator{}
	l.place.Store(&homes.Place{Instance: "here", Self: true})
	call := homes.Call[request, reply]{
		Method: method,
		Local: func(_ context.Context, q *request) (*reply, error) {
			if q.Sent == 0 {
				return nil, peer.NotHome()
			}
			return &reply{By: "here"}, nil
		},
		Resend: func(q *request) { q.Sent++ },
	}
	_, err := call.Send(t.Context(), newRouter(t, l), 0, &request{})
	assert.NilError(t, err)
}

func TestAskEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	call := homes.Call[request, reply]{Method: method, Resend: func(*request) { cancel() }}
	_, err := call.Send(ctx, newRouter(t, &locator{}), 0, &request{})
	assert.Assert(t, errors.Is(err, homes.ErrNoHome), "%v", err)
}

// TestAskDoesNotRetryOtherErrors guards against resending a request that a home
// has refused.
func TestAskDoesNotRetryOtherErrors(t *testing.T) {
	l := &locator{}
	l.place.Store(&homes.Place{Instance: "here", Self: true})
	refused := errors.New("refused")
	calls := 0
	call := homes.Call[request, reply]{
		Method: method,
		Local: func(context.Context, *request) (*reply, error) {
			calls++
			return nil, refused
		},
	}
	_, err := call.Send(t.Context(), newRouter(t, l), 0, &request{})
	assert.Assert(t, errors.Is(err, refused))
	assert.Equal(t, calls, 1)
}

// TestAskLeavesFrozenHome guards against requests that hang at a frozen home: the
// home never replies and the shard moves to this instance.
func TestAskLeavesFrozenHome(t *testing.T) {
	l := &locator{}
	frozen := newFrozenServer(t, func() { l.place.Store(&homes.Place{Instance: "here", Self: true}) })
	l.place.Store(&homes.Place{Instance: "frozen", Address: frozen.Address()})
	call := homes.Call[request, reply]{
		Method: method,
		Local:  func(context.Context, *request) (*reply, error) { return &reply{By: "here"}, nil },
	}
	got, err := call.Send(t.Context(), newRouter(t, l), 0, &request{})
	assert.NilError(t, err)
	assert.Equal(t, got.By, "here")
}

// newFrozenServer starts a server that calls received for each request and never
// replies.
func newFrozenServer(t *testing.T, received func()) *peer.Server {
	t.Helper()
	c := common.NewCommon(hclog.NewNullLogger(), conf.DefaultSettings())
	s, err := peer.NewServer(c, "127.0.0.1:0")
	assert.NilError(t, err)
	s.Register(method.Handle(func(ctx context.Context, _ *request) (*reply, error) {
		received()
		<-ctx.Done()
		return nil, ctx.Err()
	}))
	s.Start()
	t.Cleanup(s.Close)
	return s
}
