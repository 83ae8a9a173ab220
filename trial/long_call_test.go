package trial

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/group"
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

// Guards against a call that still runs when a drain ends and is cut, so that its
// caller isn't told what is known of it.
func TestDrainAnswersCallsThatOutlastIt(t *testing.T) {
	c := newCluster(t, options{instances: 2, engines: 1})
	key := c.issueKey("fes").Key
	file := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{"drainTimeout": "4s", "drainNotice": "500ms"}`), 0o600))
	i := c.addInstance("c", "-settings", file)
	c.awaitReady(i)
	c.booking.SetFaults(stand.ServiceFaults{Delay: conf.Duration(8 * time.Second)})
	client := clientOf(i, key)
	defer client.Close()
	g := group.NewGroup(t.Context())
	defer g.Close()
	g.Go(func(ctx context.Context) {
		group.Sleep(ctx, 500*time.Millisecond)
		i.signal(syscall.SIGTERM)
	})
	_, err := client.Do(t.Context(), reservation("", "early"))
	exit := <-i.exited
	assert.Equal(t, refused(t, err).RunState, "unknown")
	assert.NilError(t, exit)
	_, err = clientOf(c.instances[0], key).Do(t.Context(), reservation("", "early"))
	assert.Assert(t, isFinal(err), "%v", err)
}
