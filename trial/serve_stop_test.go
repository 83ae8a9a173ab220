package trial

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/admapi"
	"github.com/buckthorntide/buckthorntide/stand"
)

// slowDecode makes a stream of a few tokens last long enough to be under way
// when a stop begins.
const slowDecode = 60

// TestPlannedStopCutsNothing stops instances under load. The callers go where
// the health check sends them and send no call twice.
func TestPlannedStopCutsNothing(t *testing.T) {
	tests := []struct {
		name string
		stop func(c *cluster, i *instance) error
	}{
		{"by signal", func(_ *cluster, i *instance) error { return i.stop() }},
		{"by an operator", func(c *cluster, i *instance) error { return c.drain(i) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, options{instances: 3, engines: 2, engine: stand.EngineConfig{DecodeTokensPerSecond: slowDecode}})
			s := c.openShop(c.balance(c.issueKey("fes").Key), 12)
			s.awaitCalls(c, 24)
			assert.NilError(t, tt.stop(c, c.instances[1]))
			s.awaitCalls(c, 24)
			s.close(c)
			assert.Equal(t, c.booking.Stats().DoubleRuns, int64(0))
		})
	}
}

// TestRollingStopCutsNothing replaces every instance in turn under load.
func TestRollingStopCutsNothing(t *testing.T) {
	c := newCluster(t, options{instances: 3, engines: 2, engine: stand.EngineConfig{DecodeTokensPerSecond: slowDecode}})
	b := c.balance(c.issueKey("fes").Key)
	s := c.openShop(b, 12)
	for n := range 3 {
		i := c.addInstance(c.instances[n].domain)
		c.awaitReady(i)
		b.add(i)
		s.awaitCalls(c, 12)
		assert.NilError(t, c.instances[n].stop(), "the stop of %s", c.instances[n].name)
	}
	s.awaitCalls(c, 24)
	s.close(c)
	assert.Equal(t, c.booking.Stats().DoubleRuns, int64(0))
}

// drain asks as an operator for a planned stop and waits for the exit.
func (c *cluster) drain(i *instance) error {
	var reply admapi.DrainResponse
	if err := c.operate(i, http.MethodPost, admapi.PathDrain, nil, &reply); err != nil {
		return err
	}
	return <-i.exited
}
