package trial

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/stand"
)

// TestHungPlatformCutsNoCall lets the platform hang, without refusing a
// connection, for longer than keys stay fresh without it.
func TestHungPlatformCutsNoCall(t *testing.T) {
	c := newCluster(t, options{instances: 4, engines: 2})
	l := c.talk(c.issueKey("fes").Key, 4, 10)
	l.awaitTurns(4)
	c.platform.SetFaults(stand.PlatformFaults{Down: stand.DownHang})
	l.wait()
	c.platform.SetFaults(stand.PlatformFaults{})
	assert.Equal(t, l.refusals.Load(), int64(0))
}
