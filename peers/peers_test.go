package peers_test

import (
	"context"
	"testing"

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
)

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
			server, err := peer.NewServer(common.NewCommon(hclog.NewNullLogger(), conf.DefaultSettings()), "127.0.0.1:0")
			assert.NilError(t, err)
			server.Register(budget.EndProvisionals.Handle(func(context.Context, *budget.EndProvisionalsRequest) (*budget.Ended, error) {
				return nil, errors.Trace(budget.ErrUnavailable)
			}))
			server.Start()
			t.Cleanup(server.Close)
			if tt.closed {
				server.Close()
			}
			r := roster.NewRoster(roster.Entry{Name: "a"})
			r.Set(roster.Entry{Name: "b", Address: server.Address(), Start: 1})
			conns := peer.NewConns(metrics.NewRegistry())
			t.Cleanup(conns.Close)
			client := peers.NewClient(hclog.NewNullLogger(), r, conns, nil)
			_, err = client.EndProvisionals(t.Context(), "p")
			assert.Assert(t, err != nil)
			assert.Equal(t, r.Ejected("b", common.Uptime()), tt.ejected)
		})
	}
}
