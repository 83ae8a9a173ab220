package trial

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/admapi"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/route"
	"github.com/buckthorntide/buckthorntide/stand"
)

const (
	burstCallers = 30
	burstTurns   = 4
)

var errNoController = errors.New("no instance is the service's only home")

// dumpBody is what the tests read of an instance's dump.
type dumpBody struct {
	Pools []route.State `json:"pools"`
}

// TestColdUpstreamsBearTheirLoad sends a burst to engines that have just
// started, through every instance, while faults come.
func TestColdUpstreamsBearTheirLoad(t *testing.T) {
	tests := []struct {
		name      string
		coldSlots int
		fault     func(c *cluster, l *load)
	}{
		{"one slot", 1, func(*cluster, *load) {}},
		{"two slots and the controller is killed", 2, func(c *cluster, _ *load) { c.controller("fitting").kill() }},
		{"one slot and the controller freezes and wakes", 1, func(c *cluster, l *load) {
			i := c.controller("fitting")
			i.freeze()
			l.awaitTurns(l.turns.Load() + 16)
			i.thaw()
		}},
		{"one slot and the engines crash", 1, func(c *cluster, l *load) {
			for _, e := range c.engines {
				e.SetFaults(stand.EngineFaults{Crash: true})
				l.awaitTurns(l.turns.Load() + 4)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, options{instances: 3, engines: 2, engine: stand.EngineConfig{
				StartCold:             true,
				ColdSlots:             tt.coldSlots,
				DecodeTokensPerSecond: slowDecode,
			}})
			c.setColdSlots(tt.coldSlots)
			l := c.talk(c.issueKey("fes").Key, burstCallers, burstTurns)
			l.awaitTurns(4)
			tt.fault(c, l)
			l.wait()
			c.assertNoOverload(t)
		})
	}
}

// TestAddedUpstreamStartsCold adds a cold engine to the text under load.
func TestAddedUpstreamStartsCold(t *testing.T) {
	c := newCluster(t, options{instances: 3, engines: 1, engine: stand.EngineConfig{DecodeTokensPerSecond: slowDecode}})
	l := c.talk(c.issueKey("fes").Key, burstCallers, burstTurns)
	l.awaitTurns(8)
	e := c.addEngine(stand.EngineConfig{StartCold: true, ColdSlots: 1, DecodeTokensPerSecond: slowDecode})
	text := c.text
	text.Services[0].Upstreams = append(text.Services[0].Upstreams, conf.Upstream{
		Name: "engine-added", Address: e.Address(), FailureDomain: "b", Slots: 8, ColdSlots: 1, CacheTokens: 200_000,
	})
	c.apply(text)
	l.wait()
	assert.Assert(t, e.Stats().Requests > 0, "the added engine got work")
	assert.Equal(t, e.Stats().ColdOverloads, int64(0))
}

// TestEngineTurnsColdUnannounced counts from when the controller has noticed
// and no more calls run than the slow start allows: before that nothing tells
// a cold engine from a warm one.
func TestEngineTurnsColdUnannounced(t *testing.T) {
	c := newCluster(t, options{instances: 3, engines: 1, engine: stand.EngineConfig{
		PrefillTokensPerSecond: 2000,
		ColdSlots:              2,
		ColdSlowdown:           20,
	}})
	l := &load{c: c, key: c.issueKey("fes").Key}
	l.singles(t.Context(), 24)
	c.engines[0].SetFaults(stand.EngineFaults{TurnCold: true})
	l.singles(t.Context(), 12)
	c.eventually("the controller has noticed", func() error {
		s, err := c.poolState("fitting")
		if err != nil {
			return err
		}
		u := s.Upstreams[0]
		if s.Counters.ColdResets == 0 || u.Running > u.Allowance {
			return fmt.Errorf("%d resets, %d of %d running", s.Counters.ColdResets, u.Running, u.Allowance)
		}
		return nil
	})
	before := c.engines[0].Stats().ColdOverloads
	l.singles(t.Context(), 24)
	assert.Equal(t, c.engines[0].Stats().ColdOverloads, before)
}

// singles sends that many calls without a program at the same time and waits
// for their answers.
func (l *load) singles(ctx context.Context, calls int) {
	l.c.t.Helper()
	s := &load{c: l.c, key: l.key, group: group.NewGroup(ctx)}
	for n := range calls {
		s.group.Go(func(ctx context.Context) { s.note(s.single(ctx, n, strings.Repeat("long ", 40))) })
	}
	s.wait()
}

// addEngine starts one more engine, which no text names yet.
func (c *cluster) addEngine(config stand.EngineConfig) *stand.Engine {
	c.t.Helper()
	e := stand.NewEngine(config, c.nextHost()+":7100")
	assert.NilError(c.t, e.Start())
	c.t.Cleanup(e.Close)
	return e
}

func (c *cluster) setColdSlots(slots int) {
	text := c.text
	for i := range text.Services[0].Upstreams {
		text.Services[0].Upstreams[i].ColdSlots = slots
	}
	c.apply(text)
}

func (c *cluster) assertNoOverload(t *testing.T) {
	t.Helper()
	for n, e := range c.engines {
		stats := e.Stats()
		assert.Assert(t, stats.ColdStarts > 0, "engine %d was never cold", n+1)
		assert.Equal(t, stats.ColdOverloads, int64(0), "engine %d, %d in flight at most", n+1, stats.MaxInFlightCold)
	}
}

// controller returns the instance that decides for the service's upstreams.
func (c *cluster) controller(service string) *instance {
	c.t.Helper()
	var found *instance
	c.eventually("a controller", func() error {
		for _, i := range c.instances {
			if s, ok := c.statesOf(i, service); ok && s.Exclusive {
				found = i
				return nil
			}
		}
		return errNoController
	})
	return found
}

func (c *cluster) poolState(service string) (route.State, error) {
	for _, i := range c.instances {
		if s, ok := c.statesOf(i, service); ok && s.Exclusive {
			return s, nil
		}
	}
	return route.State{}, errNoController
}

func (c *cluster) statesOf(i *instance, service string) (route.State, bool) {
	var dump dumpBody
	if c.operate(i, http.MethodGet, admapi.PathDump, nil, &dump) != nil {
		return route.State{}, false
	}
	for _, s := range dump.Pools {
		if s.Service == service {
			return s, true
		}
	}
	return route.State{}, false
}
