package trial

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/group"
)

const (
	floodRate = 20.0
	// smallBurst is filled anew while a home changes, largeBurst is not.
	smallBurst = 10.0
	largeBurst = 100.0
	// floodCallers are more than may wait for a token at once.
	floodCallers = 130
	// floodPause is the pause of each of them between two calls.
	floodPause = 100 * time.Millisecond
	// clockAllowance is how much faster than the test's clock an instance's may
	// run.
	clockAllowance = 1.001
	// quietPause keeps a caller at half of its team's rate at most.
	quietPause = 100 * time.Millisecond
	// moreGrants is how many calls of the flood run before a fault, once the
	// burst is used up, and how many times three after it.
	moreGrants = 10
)

type (
	// flood is a team that sends far more than its rate at every instance.
	flood struct {
		c     *cluster
		burst float64
		group *group.Group
		mu    sync.Mutex
		// sent are the calls in the order in which they were sent.
		sent    []sentCall
		granted atomic.Int64
		limited atomic.Int64
	}

	// sentCall is one call of a flood.
	sentCall struct {
		callID string
		at     time.Time
	}

	// quiet is a team that stays well within its rate.
	quiet struct {
		group    *group.Group
		answered atomic.Int64
		limited  atomic.Int64
	}
)

// TestRateOverAllInstances floods every instance with one team's calls while
// faults come and another team stays within its rate.
func TestRateOverAllInstances(t *testing.T) {
	tests := []struct {
		name  string
		burst float64
		fault func(c *cluster, home *instance, f *flood)
	}{
		{"the home freezes and wakes", largeBurst, func(_ *cluster, home *instance, f *flood) {
			home.freeze()
			f.awaitGrants(moreGrants)
			home.thaw()
		}},
		{"instances come", smallBurst, func(c *cluster, _ *instance, _ *flood) {
			c.awaitReady(c.addInstance("a"))
			c.awaitReady(c.addInstance("b"))
		}},
		{"the platform is down and the home is killed", largeBurst, func(c *cluster, home *instance, _ *flood) {
			c.platformDown()
			home.killAndWait()
		}},
		{"the home stops as planned", largeBurst, func(c *cluster, home *instance, _ *flood) {
			assert.NilError(c.t, home.stop())
			home.exited <- nil
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, options{instances: 4, engines: 1})
			flooding, within := c.issueKey("fes"), c.issueKey("zug")
			c.fillBuckets(flooding.Key, within.Key)
			c.setGrants(floodRate, tt.burst)
			home := c.homeOf("fes")
			f, q := c.flood(flooding.Key, tt.burst), c.stayQuiet(within.Key)
			f.awaitGrants(int64(tt.burst) + moreGrants)
			tt.fault(c, home, f)
			f.awaitGrants(3 * moreGrants)
			f.group.Close()
			q.group.Close()
			f.assertWithin()
			assert.Assert(t, f.limited.Load() > 0, "the flood was never too much")
			assert.Assert(t, q.answered.Load() > 0)
			assert.Equal(t, q.limited.Load(), int64(0), "a team within its rate was refused; %d were answered", q.answered.Load())
		})
	}
}

// fillBuckets makes a call of each team, so that their levels are kept
// and not worked out from the lower rates that follow.
func (c *cluster) fillBuckets(keys ...string) {
	c.t.Helper()
	for n, key := range keys {
		client := c.client(n, key)
		c.eventually("a call is answered", func() error { return tryOnce(c.t.Context(), client, look("")) })
		client.Close()
	}
}

// setGrants gives every team the rate and burst.
func (c *cluster) setGrants(rate, burst float64) {
	c.t.Helper()
	text := c.firstText()
	for i := range text.Teams {
		text.Teams[i].RatePerSecond, text.Teams[i].Burst = rate, burst
	}
	c.apply(text)
	c.awaitRevision(c.instances, c.revision)
}

// flood begins to flood every instance.
func (c *cluster) flood(key string, burst float64) *flood {
	f := &flood{c: c, burst: burst, group: group.NewGroup(c.t.Context())}
	// Instances that a fault adds get no part of the flood.
	instances := slices.Clone(c.instances)
	for n := range floodCallers {
		f.group.Go(func(ctx context.Context) { f.send(ctx, n, key, instances) })
	}
	return f
}

func (f *flood) send(ctx context.Context, n int, key string, instances []*instance) {
	for k := 0; ctx.Err() == nil; k++ {
		callID := fmt.Sprintf("flood-%d-%d", n, k)
		f.mu.Lock()
		f.sent = append(f.sent, sentCall{callID: callID, at: time.Now()})
		f.mu.Unlock()
		client := clientOf(instances[(n+k)%len(instances)], key)
		err := tryOnce(ctx, client, look(callID))
		client.Close()
		switch {
		case err == nil:
			f.granted.Add(1)
		case codeOf(err) == codeRateLimited:
			f.limited.Add(1)
		}
		pause(ctx, floodPause)
	}
}

// awaitGrants waits until the flood has got that many more answers; it never
// gets more than its rate and burst.
func (f *flood) awaitGrants(more int64) {
	f.c.t.Helper()
	want := f.granted.Load() + more
	f.c.eventually("the flood gets answers", func() error {
		f.assertWithin()
		if n := f.granted.Load(); n < want {
			return fmt.Errorf("%d of %d", n, want)
		}
		return nil
	})
}

// assertWithin counts at the upstream, for every span of time that ends now,
// how many of the calls ran that were sent in it.
func (f *flood) assertWithin() {
	f.c.t.Helper()
	f.mu.Lock()
	sent := f.sent[:len(f.sent):len(f.sent)]
	f.mu.Unlock()
	runs := make([]float64, len(sent))
	for i, s := range sent {
		runs[i] = float64(f.c.booking.Runs(s.callID))
	}
	now := time.Now()
	sum := 0.0
	for i := len(sent) - 1; i >= 0; i-- {
		sum += runs[i]
		elapsed := now.Sub(sent[i].at).Seconds()
		bound := floodRate*elapsed*clockAllowance + f.burst
		if sum > bound {
			f.c.t.Fatalf("%.0f calls ran in %.3f s; %.1f are the most", sum, elapsed, bound)
		}
	}
}

// stayQuiet begins to call every instance in turn, well within the rate.
func (c *cluster) stayQuiet(key string) *quiet {
	q := &quiet{group: group.NewGroup(c.t.Context())}
	instances := c.instances
	q.group.Go(func(ctx context.Context) {
		for k := 0; ctx.Err() == nil; k++ {
			client := clientOf(instances[k%len(instances)], key)
			err := tryOnce(ctx, client, look(fmt.Sprintf("quiet-%d", k)))
			client.Close()
			switch {
			case err == nil:
				q.answered.Add(1)
			case codeOf(err) == codeRateLimited:
				q.limited.Add(1)
			}
			pause(ctx, quietPause)
		}
	})
	return q
}
