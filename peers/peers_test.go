package peers_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/budget"
	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/peers"
	"github.com/buckthorntide/buckthorntide/roster"
	"github.com/buckthorntide/buckthorntide/watch"
)

func newServer(t *testing.T, handler peer.Handler) *peer.Server {
	t.Helper()
	server, err := peer.NewServer(common.NewCommon(hclog.NewNullLogger(), conf.DefaultSettings()), "127.0.0.1:0")
	assert.NilError(t, err)
	server.Register(handler)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

func newClient(t *testing.T, r *roster.Roster, seeds ...string) *peers.Client {
	t.Helper()
	conns := peer.NewConns(metrics.NewRegistry())
	t.Cleanup(conns.Close)
	return peers.NewClient(hclog.NewNullLogger(), r, conns, seeds)
}

// newSeed starts a peer that tells the updates.
func newSeed(t *testing.T, updates watch.Updates) string {
	t.Helper()
	return newServer(t, peers.FetchUpdates.Handle(func(context.Context, *peers.UpdatesRequest) (*peers.UpdatesReply, error) {
		return &peers.UpdatesReply{Updates: updates}, nil
	})).Address()
}

// An instance that starts knows nothing but its seeds, which may be out of date. It
// must learn from the one that knows most, whatever the others are, and within the
// time that a start may take.
func TestSeedsThatAreNoGood(t *testing.T) {
	closed := newServer(t, peers.FetchUpdates.Handle(func(context.Context, *peers.UpdatesRequest) (*peers.UpdatesReply, error) {
		return &peers.UpdatesReply{}, nil
	}))
	closed.Close()
	noPeer := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(noPeer.Close)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, silent.Close()) })
	unknowing := newSeed(t, watch.Updates{Age: time.Hour})
	old := newSeed(t, watch.Updates{Known: true, Age: 3 * time.Second, Positions: watch.Positions{"op": 5}})
	fresh := newSeed(t, watch.Updates{Known: true, Age: time.Second, Positions: watch.Positions{"op": 7}})
	tests := []struct {
		name  string
		seeds []string
		want  int64
	}{
		{"dead, and one that knows", []string{closed.Address(), fresh}, 7},
		{"no peer, and one that knows", []string{noPeer.Listener.Addr().String(), fresh}, 7},
		{"silent, and one that knows", []string{silent.Addr().String(), fresh}, 7},
		{"one that knows nothing, and one that knows", []string{unknowing, fresh}, 7},
		{"one that knows, and one that knows nothing", []string{fresh, unknowing}, 7},
		{"the fresher of two", []string{old, fresh}, 7},
		{"itself and an old one", []string{"127.0.0.1:1", old}, 5},
		{"none that knows", []string{unknowing, closed.Address()}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := newClient(t, roster.NewRoster(roster.Entry{Name: "a", Address: "127.0.0.1:1"}), tt.seeds...)
			start := time.Now()
			updates, ok := client.Updates(t.Context(), watch.Positions{})
			assert.Assert(t, time.Since(start) < time.Second, "%v", time.Since(start))
			assert.Assert(t, ok)
			assert.Equal(t, updates.Known, tt.want != 0)
			assert.Equal(t, updates.Positions["op"], tt.want)
		})
	}
}

// A home that can't tell, such as one that has just started, answers with an error.
// It must not be taken for one that doesn't answer, or all requests would pass it by.
func TestPeerThatRefusesIsNotEjected(t *testing.T) {
	tests := []struct {
		name    string
		closed  bool
		ejected bool
	}{
		{"the handler returns an error", false, false},
		{"there is no reply", true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := newServer(t, budget.EndProvisionals.Handle(func(context.Context, *budget.EndProvisionalsRequest) (*budget.Ended, error) {
				return nil, errors.Trace(budget.ErrUnavailable)
			}))
			if tt.closed {
				server.Close()
			}
			r := roster.NewRoster(roster.Entry{Name: "a"})
			r.Set(roster.Entry{Name: "b", Address: server.Address(), Start: 1})
			_, err := newClient(t, r).EndProvisionals(t.Context(), "p")
			assert.Assert(t, err != nil)
			assert.Equal(t, r.Ejected("b", common.Uptime()), tt.ejected)
		})
	}
}
