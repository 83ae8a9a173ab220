package route_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/route"
)

const worldRelays = 3

type (
	// world is the reference state that a pool's decisions are checked against:
	// what runs on each upstream and how many calls it can run.
	world struct {
		t         *rapid.T
		now       time.Time
		pool      *route.Pool
		upstreams []*worldUpstream
		running   map[string]*worldCall
		reports   []route.Report
		calls     map[string]route.Call
		final     map[string]int
		// attempts is the latest attempt of each call that the relays have begun.
		attempts map[string]int
		// begun reports that an upstream has begun the call.
		begun     map[string]bool
		domainOut string
		next      int
		warmths   [worldRelays]map[string]route.Warmth
		awaited   map[int]bool
	}

	worldUpstream struct {
		name, domain string
		slots, cold  int
		epoch        int
		completed    int
		// epochReported reports that the pool has received the upstream's present
		// epoch.
		epochReported bool
	}

	worldCall struct {
		call     route.Call
		upstream *worldUpstream
		attempt  int
		warmth   route.Warmth
	}
)

func newWorld(t *rapid.T) *world {
	w := &world{
		t:       t,
		now:     time.Unix(1000, 0),
		running: make(map[string]*worldCall),
		calls:   make(map[string]route.Call),
		final:   make(map[string]int),
		awaited: make(map[int]bool),

		attempts: make(map[string]int),
		begun:    make(map[string]bool),
	}
	for i := range w.warmths {
		w.warmths[i] = make(map[string]route.Warmth)
	}
	for _, u := range worldService().Upstreams {
		w.upstreams = append(w.upstreams, &worldUpstream{
			name: u.Name, domain: u.FailureDomain, slots: u.Slots, cold: u.ColdSlots, epochReported: true,
		})
	}
	w.newPool()
	return w
}

// worldService is small, so that a few successes end a slow start.
func worldService() conf.Service { return smallService(4, 1, 4) }

func (w *world) newPool() {
	w.pool = route.NewPool(route.DefaultLimits(), engine.NewCacheIndex(100))
	w.apply(w.pool.Configure(worldService(), []string{w.domainOut}, w.now))
}

func (w *world) check(holds bool, format string, args ...any) {
	w.t.Helper()
	if !holds {
		w.t.Fatalf(format, args...)
	}
}

func (w *world) capacity(u *worldUpstream) int { return min(u.cold+u.completed, u.slots) }

func (w *world) inFlight(u *worldUpstream) int {
	n := 0
	for _, c := range w.running {
		if c.upstream == u {
			n++
		}
	}
	return n
}

func (w *world) find(name string) *worldUpstream {
	return w.upstreams[slices.IndexFunc(w.upstreams, func(u *worldUpstream) bool { return u.name == name })]
}

// apply executes the decisions and checks each.
func (w *world) apply(decisions []route.Decision) {
	for _, d := range decisions {
		switch d.Kind {
		case route.KindAssign:
			w.assign(d)
		case route.KindRefuse:
			w.refuse(d)
		case route.KindCancel:
			w.end(d.Call, route.OutcomeCancelled)
		}
	}
}

// refuse checks a refusal as a relay does: one that answers an older message,
// or a call that has ended, is ignored.
func (w *world) refuse(d route.Decision) {
	if w.final[d.Call] > 0 || d.Refuse.Attempts < w.attempts[d.Call] {
		return
	}
	w.check(w.running[d.Call] == nil, "call %s is refused while it runs", d.Call)
	w.check(!w.begun[d.Call] || d.Refuse.RunState != route.RunStateNotRun, "call %s has begun but is refused as not run", d.Call)
	w.final[d.Call]++
}

func (w *world) assign(d route.Decision) {
	u := w.find(d.Assign.Upstream)
	if d.Assign.Attempt <= w.attempts[d.Call] || w.final[d.Call] > 0 {
		w.repeat(d)
		return
	}
	w.attempts[d.Call] = d.Assign.Attempt
	w.check(w.running[d.Call] == nil, "call %s runs twice at once", d.Call)
	w.check(!w.begun[d.Call] || w.calls[d.Call].Repeatable, "call %s runs again", d.Call)
	w.check(u.domain != w.domainOut, "new call to %s in a domain that is out", u.name)
	cold := w.capacity(u) < u.slots
	if u.epochReported && cold {
		w.check(w.inFlight(u) < w.capacity(u), "cold %s has %d in flight and a capacity of %d", u.name, w.inFlight(u), w.capacity(u))
		w.check(len(w.awaited) == 0, "cold %s got a call while settling", u.name)
	}
	if len(w.awaited) == 0 {
		w.check(w.inFlight(u) < u.slots, "%s has %d in flight", u.name, w.inFlight(u))
	}
	c := &worldCall{call: w.calls[d.Call], upstream: u, attempt: d.Assign.Attempt, warmth: d.Assign.Warmth}
	w.running[d.Call] = c
	relay, _ := strconv.Atoi(d.Relay)
	w.warmths[relay][u.name] = c.warmth
}

// repeat reports the end of an attempt that ended before this copy of its
// assignment arrived.
func (w *world) repeat(d route.Decision) {
	if c := w.running[d.Call]; c != nil && c.attempt == d.Assign.Attempt {
		return
	}
	w.reports = append(w.reports, route.Report{
		Call: d.Call, Upstream: d.Assign.Upstream, Attempt: d.Assign.Attempt, Relay: d.Relay, Outcome: route.OutcomeCancelled,
	})
}

// end ends an attempt; its report is delivered later.
func (w *world) end(id string, outcome route.Outcome) {
	c := w.running[id]
	if c == nil {
		return
	}
	delete(w.running, id)
	w.begun[id] = w.begun[id] || outcome != route.OutcomeRefused
	if outcome == route.OutcomeCompleted {
		c.upstream.completed++
		w.final[id]++
	}
	if outcome == route.OutcomeCancelled {
		w.final[id]++
	}
	w.reports = append(w.reports, route.Report{
		Call: id, Upstream: c.upstream.name, Attempt: c.attempt, Relay: c.call.Relay, Outcome: outcome,
		FirstToken: 100 * time.Millisecond, Tokens: 10,
	})
}

func (w *world) submit(t *rapid.T) {
	c := route.Call{
		ID: "c" + strconv.Itoa(w.next), Relay: strconv.Itoa(rapid.IntRange(0, worldRelays-1).Draw(t, "relay")),
		Program: fmt.Sprintf("p%d", w.next%20), Team: fmt.Sprintf("t%d", w.next%3), PromptTokens: 100,
		RunningProgram: rapid.Bool().Draw(t, "running"), Repeatable: rapid.Bool().Draw(t, "repeatable"),
		Fingerprint: uint64(w.next + 1),
	}
	w.next++
	w.calls[c.ID] = c
	w.apply(w.pool.Submit(c, w.now))
}

// resubmit resends a call, unchanged as a late message or with its present
// attempts.
func (w *world) resubmit(t *rapid.T) {
	if w.next == 0 {
		t.Skip("no calls")
	}
	c := w.calls["c"+strconv.Itoa(rapid.IntRange(0, w.next-1).Draw(t, "call"))]
	if rapid.Bool().Draw(t, "fresh") {
		if w.final[c.ID] > 0 || w.running[c.ID] != nil {
			t.Skip("the call is running or has ended")
		}
		c.Attempts, c.Begun = w.attempts[c.ID], w.begun[c.ID]
	}
	w.apply(w.pool.Submit(c, w.now))
}

func (w *world) runningIDs() []string {
	ids := make([]string, 0, len(w.running))
	for id := range w.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *world) finish(t *rapid.T) {
	ids := w.runningIDs()
	if len(ids) == 0 {
		t.Skip("no running calls")
	}
	outcomes := []route.Outcome{
		route.OutcomeCompleted, route.OutcomeCompleted, route.OutcomeCompleted, route.OutcomeFailed, route.OutcomeRefused,
	}
	w.end(rapid.SampledFrom(ids).Draw(t, "call"), rapid.SampledFrom(outcomes).Draw(t, "outcome"))
}

// deliver delivers a report, out of order and sometimes twice.
func (w *world) deliver(t *rapid.T) {
	if len(w.reports) == 0 {
		t.Skip("no reports")
	}
	i := rapid.IntRange(0, len(w.reports)-1).Draw(t, "report")
	r := w.reports[i]
	if rapid.IntRange(0, 4).Draw(t, "twice") > 0 {
		w.reports = slices.Delete(w.reports, i, i+1)
	}
	w.apply(w.pool.Done(r, w.now))
}

// restart crashes an upstream: its running calls break and it is cold.
func (w *world) restart(t *rapid.T) {
	u := rapid.SampledFrom(w.upstreams).Draw(t, "upstream")
	u.epoch++
	u.completed = 0
	u.epochReported = false
	for _, id := range w.runningIDs() {
		if w.running[id].upstream == u {
			w.end(id, route.OutcomeCrashed)
		}
	}
}

func (w *world) load(t *rapid.T) {
	u := rapid.SampledFrom(w.upstreams).Draw(t, "upstream")
	w.apply(w.pool.ObserveLoad(u.name, engine.Load{Epoch: strconv.Itoa(u.epoch), Running: w.inFlight(u)}, w.now))
	u.epochReported = true
}

func (w *world) domain(t *rapid.T) {
	back := w.domainOut
	w.domainOut = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "out")
	for _, u := range w.upstreams {
		if u.domain == back && back != w.domainOut {
			u.completed = 0
		}
		if u.domain == w.domainOut {
			for i := range w.warmths {
				delete(w.warmths[i], u.name)
			}
		}
	}
	w.apply(w.pool.Configure(worldService(), []string{w.domainOut}, w.now))
}

// takeover replaces the pool by a new one that has received no reports.
func (w *world) takeover(*rapid.T) {
	relays := make([]string, 0, worldRelays)
	for i := range worldRelays {
		relays = append(relays, strconv.Itoa(i))
		w.awaited[i] = true
	}
	w.newPool()
	w.pool.AwaitRelays(relays, w.now.Add(time.Hour))
	for _, u := range w.upstreams {
		u.epochReported = true
	}
}

func (w *world) adopt(t *rapid.T) {
	i := rapid.IntRange(0, worldRelays-1).Draw(t, "relay")
	state := route.RelayState{Relay: strconv.Itoa(i)}
	for _, id := range w.runningIDs() {
		if c := w.running[id]; c.call.Relay == state.Relay {
			state.Calls = append(state.Calls, route.Inflight{Call: c.call, Upstream: c.upstream.name, Attempt: c.attempt, Warmth: c.warmth})
		}
	}
	for _, u := range w.upstreams {
		if warmth, ok := w.warmths[i][u.name]; ok {
			state.Warmths = append(state.Warmths, warmth)
		}
	}
	delete(w.awaited, i)
	w.apply(w.pool.Adopt(state, w.now))
}

func (w *world) tick(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "milliseconds")) * time.Millisecond)
	w.apply(w.pool.Tick(w.now))
}

func (w *world) authority(t *rapid.T) {
	w.apply(w.pool.SetAuthority(rapid.IntRange(0, 3).Draw(t, "exclusive") > 0, w.now))
}

// TestScheduleNeverOverloadsColdUpstream runs random schedules of submits,
// resends, late and duplicate reports, restarts, takeovers, losses of authority
// and failure domains out and back.
func TestScheduleNeverOverloadsColdUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":    w.submit,
			"submit2":   w.submit,
			"submit3":   w.submit,
			"resubmit":  w.resubmit,
			"finish":    w.finish,
			"finish2":   w.finish,
			"deliver":   w.deliver,
			"deliver2":  w.deliver,
			"deliver3":  w.deliver,
			"restart":   w.restart,
			"load":      w.load,
			"domain":    w.domain,
			"takeover":  w.takeover,
			"adopt":     w.adopt,
			"adopt2":    w.adopt,
			"tick":      w.tick,
			"authority": w.authority,
		})
		for id, n := range w.final {
			assert.Assert(t, n <= 1, "call %s ended %d times", id, n)
		}
	})
}
