package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/route"
)

const (
	poisonFingerprint = 666
	healthyCalls      = 400
)

// poisonRun is a small fleet whose upstreams crash whenever they run the poison
// request.
type poisonRun struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Time
	pool      *route.Pool
	epochs    map[string]int
	running   map[string]*worldCall
	calls     map[string]route.Call
	ended     map[string]route.Refuse
	completed map[string]bool
	crashes   []string
}

func newPoisonRun(t *testing.T, seed uint64, upstreams int) *poisonRun {
	r := &poisonRun{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		epochs: make(map[string]int), running: make(map[string]*worldCall), calls: make(map[string]route.Call),
		ended: make(map[string]route.Refuse), completed: make(map[string]bool),
	}
	r.newPool(upstreams)
	return r
}

func (r *poisonRun) newPool(upstreams int) {
	r.pool = route.NewPool(route.DefaultLimits(), nil)
	service := modelService(upstreams)
	for i := range service.Upstreams {
		service.Upstreams[i].ColdSlots = modelSlots
	}
	r.apply(r.pool.Configure(service, nil, r.now))
	r.load()
}

func (r *poisonRun) load() {
	for _, u := range modelService(8).Upstreams {
		r.apply(r.pool.ObserveLoad(u.Name, engine.Load{Epoch: strconv.Itoa(r.epochs[u.Name])}, r.now))
	}
}

func (r *poisonRun) submit(id string, fingerprint uint64) {
	c := route.Call{
		ID: id, Relay: fmt.Sprintf("r%d", r.random.IntN(3)), Program: id, Team: "t", Repeatable: true,
		RunningProgram: true, Fingerprint: fingerprint, PromptTokens: 100,
	}
	r.calls[id] = c
	r.apply(r.pool.Submit(c, r.now))
}

func (r *poisonRun) apply(decisions []route.Decision) {
	for _, d := range decisions {
		switch d.Kind {
		case route.KindAssign:
			r.running[d.Call] = &worldCall{
				call: r.calls[d.Call], upstream: &worldUpstream{name: d.Assign.Upstream}, attempt: d.Assign.Attempt,
			}
		case route.KindRefuse:
			r.ended[d.Call] = *d.Refuse
		case route.KindCancel:
			r.finish(d.Call, route.OutcomeCancelled)
		}
	}
}

func (r *poisonRun) finish(id string, outcome route.Outcome) {
	c := r.running[id]
	if c == nil {
		return
	}
	delete(r.running, id)
	r.completed[id] = outcome == route.OutcomeCompleted
	r.apply(r.pool.Done(route.Report{
		Call: id, Upstream: c.upstream.name, Attempt: c.attempt, Relay: c.call.Relay, Outcome: outcome,
	}, r.now))
}

func (r *poisonRun) ids() []string {
	ids := make([]string, 0, len(r.running))
	for id := range r.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// step advances the time by 100 ms: the poison request crashes its upstream,
// and one in ten other calls completes.
func (r *poisonRun) step() {
	r.now = r.now.Add(100 * time.Millisecond)
	for _, id := range r.ids() {
		c := r.running[id]
		switch {
		case c == nil:
		case c.call.Fingerprint == poisonFingerprint:
			r.crash(c.upstream.name)
		case r.random.IntN(10) == 0:
			r.finish(id, route.OutcomeCompleted)
		}
	}
	r.apply(r.pool.Tick(r.now))
}

func (r *poisonRun) crash(upstream string) {
	r.crashes = append(r.crashes, upstream)
	r.epochs[upstream]++
	ids := r.ids()
	r.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		if c := r.running[id]; c != nil && c.upstream.name == upstream {
			r.finish(id, route.OutcomeCrashed)
		}
	}
}

// TestPoisonIsStoppedAfterTwoUpstreams submits a request that crashes every
// upstream, repeatedly and among other calls. It must crash at most two, the
// other calls must complete, and a new controller that adopts the suspects must
// refuse it.
func TestPoisonIsStoppedAfterTwoUpstreams(t *testing.T) {
	for seed := range uint64(40) {
		r := newPoisonRun(t, seed, 8)
		for i := range 200 {
			for j := range 4 {
				if id := 4*i + j; id < healthyCalls {
					r.submit(fmt.Sprintf("good%d", id), uint64(1000+id))
				}
			}
			if i%10 == 5 {
				r.submit(fmt.Sprintf("bad%d", i), poisonFingerprint)
			}
			r.step()
			if i%10 == 9 {
				r.load()
			}
		}
		assert.Assert(t, len(r.crashes) <= 2, "seed %d: crashed %v", seed, r.crashes)
		assert.Equal(t, r.ended["bad5"].Reason, route.ErrPoison)
		assert.Equal(t, r.ended["bad5"].RunState, route.RunStateUnknown)
		assert.Equal(t, r.ended["bad195"].RunState, route.RunStateNotRun)
		for i := range healthyCalls {
			assert.Assert(t, r.completed[fmt.Sprintf("good%d", i)], "seed %d: healthy call %d: %+v", seed, i, r.ended[fmt.Sprintf("good%d", i)])
		}
		known := r.pool.Suspects(r.now)
		assert.Equal(t, len(known), 1, "completed calls are still suspects")
		r.newPool(8)
		r.apply(r.pool.AdoptSuspects(known, r.now))
		r.submit("again", poisonFingerprint)
		assert.Equal(t, r.ended["again"].Reason, route.ErrPoison)
	}
}

// TestQueuedPoisonIsRefused guards against copies of a poison request that were
// queued before the first one crashed its upstreams.
func TestQueuedPoisonIsRefused(t *testing.T) {
	for seed := range uint64(20) {
		r := newPoisonRun(t, seed, 8)
		for i := range 8*modelSlots + 400 {
			fingerprint := uint64(1000 + i)
			if i >= 8*modelSlots && i%80 == 0 {
				fingerprint = poisonFingerprint
			}
			r.submit(fmt.Sprintf("c%04d", i), fingerprint)
		}
		for steps := 0; r.pool.State(r.now).Calls > 0 && steps < 2000; steps++ {
			r.step()
			if steps%10 == 9 {
				r.load()
			}
		}
		assert.Assert(t, len(r.crashes) <= 2, "seed %d: crashed %v", seed, r.crashes)
		assert.Equal(t, r.pool.State(r.now).Calls, 0)
		for id, c := range r.calls {
			assert.Equal(t, r.completed[id], c.Fingerprint != poisonFingerprint, "seed %d: %s %+v", seed, id, r.ended[id])
		}
	}
}

// TestSuspectsRunIsolated crashes an upstream with many calls in flight: each
// is then retried on an upstream without another suspect.
func TestSuspectsRunIsolated(t *testing.T) {
	r := newPoisonRun(t, 1, 3)
	for i := range 30 {
		r.submit(fmt.Sprintf("good%d", i), uint64(1000+i))
	}
	before := r.ids()
	suspects := make(map[string]bool)
	for _, id := range before {
		suspects[id] = r.running[id].upstream.name == "e000"
	}
	r.crash("e000")
	for r.pool.State(r.now).Calls > 0 {
		perUpstream := make(map[string]int)
		for _, id := range r.ids() {
			if c := r.running[id]; suspects[id] && c.attempt == 2 {
				perUpstream[c.upstream.name]++
				assert.Assert(t, perUpstream[c.upstream.name] == 1, "two suspects on %s", c.upstream.name)
			}
		}
		r.step()
	}
	assert.Equal(t, len(r.pool.Suspects(r.now)), 0, "completed calls are still suspects")
}

// TestBrokenConnectionIsNoCrash breaks one relay's connections to one upstream
// after the other, while the upstreams' load reports show that none has
// crashed.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	r := newPoisonRun(t, 1, 8)
	for i := range 3 {
		r.submit(fmt.Sprintf("good%d", i), 7)
		id := fmt.Sprintf("good%d", i)
		assert.Assert(t, r.running[id] != nil, "good%d doesn't run", i)
		r.finish(id, route.OutcomeCrashed)
		for range 60 {
			r.now = r.now.Add(100 * time.Millisecond)
			r.load()
			r.apply(r.pool.Tick(r.now))
		}
	}
	for _, s := range r.pool.Suspects(r.now) {
		for _, k := range s.Strikes {
			assert.Assert(t, !k.Confirmed, "%+v", s)
		}
	}
	assert.Equal(t, len(r.ended), 0)
}

// TestOutageLeavesNoSuspects crashes a whole failure domain at once: the calls
// in flight must not be treated as poison.
func TestOutageLeavesNoSuspects(t *testing.T) {
	r := newPoisonRun(t, 1, 8)
	for i := range 60 {
		r.submit(fmt.Sprintf("good%d", i), uint64(1000+i))
	}
	for _, u := range []string{"e000", "e003", "e006"} {
		r.crash(u)
	}
	r.load()
	assert.Equal(t, r.pool.State(r.now).Held, 0, "an outage leaves suspects")
	for range 100 {
		r.step()
	}
	for i := range 60 {
		assert.Assert(t, r.completed[fmt.Sprintf("good%d", i)], "%d %+v", i, r.ended[fmt.Sprintf("good%d", i)])
	}
	assert.Equal(t, len(r.pool.Suspects(r.now)), 0)
}
