package trial

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/stand"
)

// An instance that drains still takes calls for a while. Guards against a call that is
// taken then, is sent to its service and is cut when the drain ends.
func TestDrainCutsNoCallThatItTakes(t *testing.T) {
	c := newCluster(t, options{instances: 2, engines: 1})
	key := c.issueKey("fes").Key
	file := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{"drainTimeout": "4s", "drainNotice": "2s"}`), 0o600))
	i := c.addInstance("c", "-settings", file)
	c.awaitReady(i)
	c.booking.SetFaults(stand.ServiceFaults{Delay: conf.Duration(6 * time.Second)})
	i.signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	client := clientOf(i, key)
	defer client.Close()
	_, err := client.Do(t.Context(), reservation("", "late"))
	t.Logf("%v, exit %v", err, <-i.exited)
	assert.Assert(t, err == nil || runState(err) == stateNotRun, "%v", err)
}
