package trial

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/admapi"
	"github.com/buckthorntide/buckthorntide/stand"
)

// TestIsolatedInstance lets one instance hear neither the platform nor a peer.
func TestIsolatedInstance(t *testing.T) {
	tests := []struct {
		name string
		back func(c *cluster)
	}{
		{"the peers come back", func(c *cluster) {
			c.instances[1].thaw()
			c.instances[2].thaw()
		}},
		{"the platform comes back first", func(c *cluster) {
			c.platform.SetFaults(stand.PlatformFaults{})
			c.awaitReady(c.instances[0])
			c.instances[1].thaw()
			c.instances[2].thaw()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, options{instances: 3, engines: 1})
			key := c.issueKey("fes").Key
			alone := c.instances[0]
			k := c.knock(alone, key)
			c.awaitCount("calls are answered", &k.answered, 1)
			c.instances[1].freeze()
			c.instances[2].freeze()
			c.platformDown()
			c.awaitStatus("is not ready", []*instance{alone}, func(s admapi.StatusResponse) bool { return !s.Ready })
			c.assertShut(alone, key)
			tt.back(c)
			c.awaitReady(alone)
			c.assertServes(alone, key)
		})
	}
}

// assertShut checks that the instance refuses every kind of call and that none
// runs.
func (c *cluster) assertShut(i *instance, key string) {
	c.t.Helper()
	client := clientOf(i, key)
	defer client.Close()
	runs := c.booking.Stats().Runs
	for range moreRefusals {
		_, openErr := client.OpenProgram(c.t.Context(), "")
		for _, err := range []error{
			tryOnce(c.t.Context(), client, look("")),
			tryOnce(c.t.Context(), client, reservation("", "alone")),
			openErr,
		} {
			assert.Equal(c.t, codeOf(err), "notReady", "%v", err)
			assert.Equal(c.t, runState(err), stateNotRun)
		}
	}
	assert.Equal(c.t, c.booking.Stats().Runs, runs)
}
