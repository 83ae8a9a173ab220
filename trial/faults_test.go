package trial

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/stand"
)

// TestHistorySurvives lets callers talk while faults come and checks every
// answer against the history that it must rest on.
func TestHistorySurvives(t *testing.T) {
	tests := []struct {
		name  string
		fault func(c *cluster, l *load)
	}{
		{"an instance is killed", func(c *cluster, _ *load) { c.instances[1].kill() }},
		{"two instances are killed and one comes", func(c *cluster, l *load) {
			c.instances[1].kill()
			l.awaitTurns(l.turns.Load() + 8)
			c.addInstance("c")
			c.instances[2].kill()
		}},
		{"an instance freezes and wakes", func(c *cluster, l *load) {
			c.instances[1].freeze()
			l.awaitTurns(l.turns.Load() + 16)
			c.instances[1].thaw()
		}},
		{"the platform is down for a while", func(c *cluster, l *load) {
			c.platform.SetFaults(stand.PlatformFaults{Down: stand.DownDrop})
			l.awaitTurns(l.turns.Load() + 16)
			c.platform.SetFaults(stand.PlatformFaults{})
		}},
		{"answers of the platform get lost", func(c *cluster, _ *load) {
			c.platform.SetFaults(stand.PlatformFaults{LoseProbability: 0.3})
		}},
		{"an instance is killed while answers get lost", func(c *cluster, _ *load) {
			c.platform.SetFaults(stand.PlatformFaults{LoseProbability: 0.2})
			c.instances[1].kill()
		}},
		{"an instance is killed after the platform went down", func(c *cluster, l *load) {
			c.platform.SetFaults(stand.PlatformFaults{Down: stand.DownDrop})
			l.awaitTurns(l.turns.Load() + 8)
			c.platform.SetFaults(stand.PlatformFaults{})
			c.instances[3].kill()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, options{instances: 4, engines: 2})
			l := c.talk(c.issueKey("fes").Key, 8, 8)
			l.awaitTurns(16)
			tt.fault(c, l)
			l.wait()
			assert.Equal(t, c.leakedKeys(), int64(0))
		})
	}
}

// TestReservationRunsAtMostOnce lets callers send reservations again and again
// while faults come.
func TestReservationRunsAtMostOnce(t *testing.T) {
	tests := []struct {
		name  string
		fault func(c *cluster)
	}{
		{"upstreams crash after running", func(c *cluster) {
			c.booking.SetFaults(stand.ServiceFaults{CrashAfterRunProbability: 0.3})
		}},
		{"an instance is killed", func(c *cluster) { c.instances[1].kill() }},
		{"an instance freezes and wakes", func(c *cluster) {
			c.instances[1].freeze()
			c.awaitRuns(30)
			c.instances[1].thaw()
		}},
		{"answers of the platform get lost", func(c *cluster) {
			c.platform.SetFaults(stand.PlatformFaults{LoseProbability: 0.3})
		}},
		{"an instance is killed while answers get lost", func(c *cluster) {
			c.platform.SetFaults(stand.PlatformFaults{LoseProbability: 0.3})
			c.instances[1].kill()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, options{instances: 3, engines: 1})
			l := &load{c: c, key: c.issueKey("fes").Key}
			var mu sync.Mutex
			mayHaveRun := make(map[string]bool)
			callers := group.NewGroup(t.Context())
			for n := range 10 {
				callers.Go(func(ctx context.Context) {
					for i := range 6 {
						callID := fmt.Sprintf("slot-%d-%d", n, i)
						may := l.reserve(ctx, n+i, callID)
						mu.Lock()
						mayHaveRun[callID] = may
						mu.Unlock()
					}
				})
			}
			c.awaitRuns(10)
			tt.fault(c)
			callers.Wait()
			callers.Close()
			assert.Equal(t, len(mayHaveRun), 60)
			c.assertRuns(t, mayHaveRun)
		})
	}
}

// awaitRuns waits until the plain service has run that many calls.
func (c *cluster) awaitRuns(runs int64) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("%d runs", runs), func() error {
		if done := c.booking.Stats().Runs; done < runs {
			return fmt.Errorf("%d done", done)
		}
		return nil
	})
}
