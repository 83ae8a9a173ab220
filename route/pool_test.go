package route_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/route"
)

var epoch = time.Unix(1000, 0)

// warmPool returns a pool whose upstreams have that many slots and no slow
// start.
func warmPool(limits route.Limits, upstreams, slots int) *route.Pool {
	p := route.NewPool(limits, engine.NewCacheIndex(1000))
	p.Configure(smallService(upstreams, slots, slots), nil, epoch)
	return p
}

func smallService(upstreams, cold, slots int) conf.Service {
	s := modelService(upstreams)
	for i := range s.Upstreams {
		s.Upstreams[i].ColdSlots, s.Upstreams[i].Slots = cold, slots
	}
	return s
}

func call(id, team string) route.Call {
	return route.Call{
		ID: id, Relay: "r", Program: id, Root: id, Team: team, PromptTokens: 100,
		RunningProgram: true, Repeatable: true, Deadline: epoch.Add(time.Hour),
	}
}

// decisionOf returns the first decision of the kind, or nil.
func decisionOf(decisions []route.Decision, kind route.Kind) *route.Decision {
	for i := range decisions {
		if decisions[i].Kind == kind {
			return &decisions[i]
		}
	}
	return nil
}

func reportOf(d *route.Decision, outcome route.Outcome) route.Report {
	return route.Report{
		Call: d.Call, Upstream: d.Assign.Upstream, Attempt: d.Assign.Attempt, Relay: d.Relay,
		Outcome: outcome, FirstToken: time.Millisecond,
	}
}

// completeAll completes calls one after the other on a single slot and returns
// the order in which they ran.
func completeAll(p *route.Pool, first *route.Decision) []string {
	var order []string
	now := epoch
	for d := first; d != nil; {
		order = append(order, d.Call)
		now = now.Add(time.Second)
		d = decisionOf(p.Done(reportOf(d, route.OutcomeCompleted), now), route.KindAssign)
	}
	return order
}

func TestOrderWithinATeam(t *testing.T) {
	p := warmPool(route.DefaultLimits(), 1, 1)
	first := decisionOf(p.Submit(call("first", "t"), epoch), route.KindAssign)
	fresh := call("new", "t")
	fresh.RunningProgram = false
	long := call("long", "t")
	long.AttainedService = 1 << 20
	late := call("late", "t")
	p.Submit(fresh, epoch)
	p.Submit(long, epoch)
	p.Submit(call("short", "t"), epoch.Add(time.Millisecond))
	p.Submit(late, epoch.Add(time.Minute))
	assert.DeepEqual(t, completeAll(p, first), []string{"first", "short", "long", "new", "late"})
}

func TestTeamsShareByWeight(t *testing.T) {
	p := warmPool(route.DefaultLimits(), 1, 1)
	p.SetWeights([]route.TeamWeight{{Team: "large", Weight: 3}})
	first := decisionOf(p.Submit(call("first", "x"), epoch), route.KindAssign)
	for i := range 60 {
		p.Submit(call(fmt.Sprintf("large%02d", i), "large"), epoch)
	}
	for i := range 10 {
		p.Submit(call(fmt.Sprintf("small%02d", i), "small"), epoch)
	}
	small := 0
	for _, id := range completeAll(p, first)[:25] {
		if id[:5] == "small" {
			small++
		}
	}
	assert.Assert(t, small >= 5 && small <= 7, "small got %d of 24", small)
}

func TestFullQueueEvictsLargestTeam(t *testing.T) {
	limits := route.DefaultLimits()
	limits.MaxQueued = 10
	p := warmPool(limits, 1, 1)
	for i := range 11 {
		p.Submit(call(fmt.Sprintf("large%02d", i), "large"), epoch)
	}
	own := decisionOf(p.Submit(call("large-more", "large"), epoch), route.KindRefuse)
	assert.Equal(t, own.Refuse.Reason, route.ErrQueueFull)
	assert.Equal(t, own.Refuse.RunState, route.RunStateNotRun)
	decisions := p.Submit(call("small", "small"), epoch)
	victim := decisionOf(decisions, route.KindRefuse)
	assert.Equal(t, victim.Call[:5], "large")
	assert.Equal(t, decisionOf(decisions, route.KindQueued).Call, "small")
}

func TestDeadlines(t *testing.T) {
	p := warmPool(route.DefaultLimits(), 1, 1)
	p.Submit(call("running", "t"), epoch)
	soon := call("soon", "t")
	soon.Deadline = epoch.Add(5 * time.Second)
	p.Submit(soon, epoch)
	for i := range 20 {
		p.Submit(call(fmt.Sprintf("more%d", i), "t"), epoch)
	}
	hopeless := call("hopeless", "t")
	hopeless.Deadline = epoch.Add(time.Second)
	early := decisionOf(p.Submit(hopeless, epoch), route.KindRefuse)
	assert.Equal(t, early.Refuse.Reason, route.ErrDeadline)
	assert.Assert(t, early.Refuse.RetryAfter > time.Second)
	assert.Assert(t, decisionOf(p.Tick(epoch.Add(4*time.Second)), route.KindRefuse) == nil)
	late := decisionOf(p.Tick(epoch.Add(5*time.Second)), route.KindRefuse)
	assert.Equal(t, late.Call, "soon")
	assert.Equal(t, late.Refuse.RunState, route.RunStateNotRun)
}

func TestRetries(t *testing.T) {
	cases := []struct {
		name       string
		repeatable bool
		delivered  bool
		outcome    route.Outcome
		retried    bool
		state      route.RunState
	}{
		{name: "repeatable failure", repeatable: true, outcome: route.OutcomeFailed, retried: true},
		{name: "repeatable crash", repeatable: true, outcome: route.OutcomeCrashed, retried: true},
		{name: "delivered", repeatable: true, delivered: true, outcome: route.OutcomeFailed, state: route.RunStateUnknown},
		{name: "not repeatable", outcome: route.OutcomeFailed, state: route.RunStateUnknown},
		{name: "not repeatable crash", outcome: route.OutcomeCrashed, state: route.RunStateUnknown},
		{name: "not repeatable, never begun", outcome: route.OutcomeUnreachable, retried: true},
		{name: "not repeatable, refused", outcome: route.OutcomeRefused, retried: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := warmPool(route.DefaultLimits(), 3, 1)
			one := call("one", "t")
			one.Repeatable = c.repeatable
			d := decisionOf(p.Submit(one, epoch), route.KindAssign)
			r := reportOf(d, c.outcome)
			r.Delivered = c.delivered
			decisions := p.Done(r, epoch.Add(time.Second))
			again := decisionOf(decisions, route.KindAssign)
			assert.Equal(t, again != nil, c.retried)
			if c.retried {
				assert.Assert(t, again.Assign.Upstream != d.Assign.Upstream)
				assert.Equal(t, again.Assign.Attempt, 2)
				return
			}
			refused := decisionOf(decisions, route.KindRefuse).Refuse
			assert.Equal(t, refused.RunState, c.state)
			resent := decisionOf(p.Submit(one, epoch.Add(time.Second)), route.KindRefuse).Refuse
			assert.Equal(t, resent.Reason, refused.Reason)
			assert.Equal(t, resent.RunState, refused.RunState)
		})
	}
}

func TestRetriesStayWithinTheirBudget(t *testing.T) {
	limits := route.DefaultLimits()
	limits.RetryBurst = 2
	limits.MaxAttempts = 100
	p := warmPool(limits, 3, 1)
	d := decisionOf(p.Submit(call("one", "t"), epoch), route.KindAssign)
	retries, now := 0, epoch
	for d != nil {
		now = now.Add(time.Minute)
		decisions := p.Done(reportOf(d, route.OutcomeFailed), now)
		decisions = append(decisions, p.Tick(now.Add(30*time.Second))...)
		if d = decisionOf(decisions, route.KindAssign); d != nil {
			retries++
		}
	}
	assert.Equal(t, retries, 2)
}

func TestAuthorityAndSettling(t *testing.T) {
	cases := []struct {
		name    string
		cold    int
		prepare func(p *route.Pool)
		running int
	}{
		{name: "exclusive, warm", cold: 8, prepare: func(*route.Pool) {}, running: 8},
		{name: "exclusive, cold", cold: 2, prepare: func(*route.Pool) {}, running: 2},
		{name: "not exclusive, warm", cold: 8, prepare: func(p *route.Pool) { p.SetAuthority(false, epoch) }, running: 2},
		{name: "not exclusive, cold", cold: 2, prepare: func(p *route.Pool) { p.SetAuthority(false, epoch) }},
		{name: "settling, warm", cold: 8, prepare: settleSoon, running: 6},
		{name: "settling, cold", cold: 2, prepare: settleSoon},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := route.NewPool(route.DefaultLimits(), nil)
			p.Configure(smallService(1, c.cold, 8), nil, epoch)
			c.prepare(p)
			for i := range 20 {
				p.Submit(call(fmt.Sprintf("c%d", i), "t"), epoch)
			}
			assert.Equal(t, p.State(epoch).Upstreams[0].Running, c.running)
			p.SetAuthority(true, epoch)
			p.Tick(epoch.Add(2 * time.Second))
			assert.Equal(t, p.State(epoch).Upstreams[0].Running, c.cold)
		})
	}
}

func settleSoon(p *route.Pool) { p.AwaitRelays([]string{"r"}, epoch.Add(time.Second)) }

func TestUnannouncedColdUpstreamIsDetected(t *testing.T) {
	p := route.NewPool(route.DefaultLimits(), nil)
	p.Configure(smallService(1, 1, 8), nil, epoch)
	now, allowance := epoch, 0
	run := func(i int, first time.Duration) {
		now = now.Add(time.Second)
		d := decisionOf(p.Submit(call(fmt.Sprintf("c%d", i), "t"), now), route.KindAssign)
		r := reportOf(d, route.OutcomeCompleted)
		r.FirstToken = first
		p.Done(r, now.Add(500*time.Millisecond))
		allowance = p.State(now).Upstreams[0].Allowance
	}
	for i := range 40 {
		run(i, 20*time.Millisecond)
	}
	assert.Equal(t, allowance, 8)
	for i := 40; i < 43; i++ {
		run(i, 3*time.Second)
	}
	assert.Equal(t, allowance, 1)
	assert.Equal(t, p.State(now).Counters.ColdResets, int64(1))
}

func TestOldSuccessesDontWarmARestartedUpstream(t *testing.T) {
	cases := []struct {
		name    string
		reports []string
	}{
		{name: "restart reported", reports: []string{"1"}},
		{name: "first load report after the restart"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := route.NewPool(route.DefaultLimits(), nil)
			p.Configure(smallService(1, 4, 8), nil, epoch)
			for _, r := range c.reports {
				p.ObserveLoad("e000", engine.Load{Epoch: r}, epoch)
			}
			running := make([]*route.Decision, 0, 4)
			for i := range 4 {
				running = append(running, decisionOf(p.Submit(call(fmt.Sprintf("c%d", i), "t"), epoch), route.KindAssign))
			}
			p.ObserveLoad("e000", engine.Load{Epoch: "2"}, epoch.Add(time.Second))
			for _, d := range running {
				p.Done(reportOf(d, route.OutcomeCompleted), epoch.Add(2*time.Second))
			}
			assert.Equal(t, p.State(epoch).Upstreams[0].Allowance, 4)
		})
	}
}

func TestLateMessagesOfAnEndedCall(t *testing.T) {
	p := warmPool(route.DefaultLimits(), 1, 1)
	d := decisionOf(p.Submit(call("one", "t"), epoch), route.KindAssign)
	p.Done(reportOf(d, route.OutcomeCompleted), epoch)
	again := decisionOf(p.Submit(call("one", "t"), epoch), route.KindRefuse)
	assert.Equal(t, again.Refuse.Reason, route.ErrFinished)
	assert.Equal(t, again.Refuse.RunState, route.RunStateRan)
	assert.Equal(t, len(p.Done(reportOf(d, route.OutcomeFailed), epoch)), 0)
	p.Cancel("two", epoch)
	late := decisionOf(p.Submit(call("two", "t"), epoch), route.KindRefuse)
	assert.Equal(t, late.Refuse.Reason, route.ErrFinished, "the cancel arrived before the call")
}

func TestWarmthNeedsTheSameEpoch(t *testing.T) {
	for _, c := range []struct {
		epoch     string
		allowance int
	}{{epoch: "1", allowance: 8}, {epoch: "2", allowance: 2}} {
		p := route.NewPool(route.DefaultLimits(), nil)
		p.Configure(smallService(1, 2, 8), nil, epoch)
		p.AwaitRelays([]string{"r"}, epoch.Add(time.Second))
		warmth := route.Warmth{Upstream: "e000", Epoch: "1", Allowance: 8}
		p.Adopt(route.RelayState{Relay: "r", Warmths: []route.Warmth{warmth}}, epoch)
		p.ObserveLoad("e000", engine.Load{Epoch: c.epoch}, epoch)
		assert.Equal(t, p.State(epoch).Upstreams[0].Allowance, c.allowance)
	}
}

func TestDomainOutAndBack(t *testing.T) {
	p := route.NewPool(route.DefaultLimits(), nil)
	service := smallService(3, 2, 8)
	p.Configure(service, nil, epoch)
	for i := range 6 {
		p.Submit(call(fmt.Sprintf("c%d", i), "t"), epoch)
	}
	p.Configure(service, []string{"a"}, epoch)
	for i := 6; i < 12; i++ {
		p.Submit(call(fmt.Sprintf("c%d", i), "t"), epoch)
	}
	out := p.State(epoch).Upstreams[0]
	assert.Equal(t, out.Running, 2, "running calls continue")
	assert.Equal(t, out.Allowance, 0)
	p.Configure(service, nil, epoch)
	assert.Equal(t, p.State(epoch).Upstreams[0].Allowance, 2, "an upstream that returns is cold")
}

func TestLostRelay(t *testing.T) {
	p := warmPool(route.DefaultLimits(), 1, 1)
	d := decisionOf(p.Submit(call("one", "t"), epoch), route.KindAssign)
	p.Submit(call("two", "t"), epoch)
	p.RemoveRelay("r", epoch)
	assert.Equal(t, p.State(epoch).Queued, 0)
	other := call("one", "t")
	other.Relay = "s"
	resumed := decisionOf(p.Submit(other, epoch.Add(time.Second)), route.KindAssign)
	assert.Assert(t, resumed.Assign.Resume)
	assert.Equal(t, resumed.Assign.Attempt, d.Assign.Attempt)
	p.RemoveRelay("s", epoch.Add(2*time.Second))
	assert.Assert(t, decisionOf(p.Tick(epoch.Add(3*time.Second)), route.KindCancel) == nil)
	assert.Equal(t, decisionOf(p.Tick(epoch.Add(7*time.Second)), route.KindCancel).Call, "one")
	p.Tick(epoch.Add(time.Minute))
	assert.Equal(t, p.State(epoch).Calls, 0)
}

func TestProgramsReturnToCachedPrefix(t *testing.T) {
	limits := route.DefaultLimits()
	limits.MoveRate = 1e6
	p := warmPool(limits, 4, 2)
	turn := func(i int, at time.Time) *route.Decision {
		c := call(fmt.Sprintf("turn%d", i), "t")
		c.Program, c.PromptTokens = "p", 20_000
		return decisionOf(p.Submit(c, at), route.KindAssign)
	}
	first := turn(1, epoch)
	p.Done(reportOf(first, route.OutcomeCompleted), epoch.Add(time.Second))
	second := turn(2, epoch.Add(2*time.Second))
	assert.Equal(t, second.Assign.Upstream, first.Assign.Upstream)
	turn(3, epoch.Add(2*time.Second))
	moved := turn(4, epoch.Add(2*time.Second))
	assert.Assert(t, moved.Assign.Upstream != first.Assign.Upstream)
	assert.Equal(t, moved.Assign.Move.From, first.Assign.Upstream)
}

func TestShortPausesReserveCache(t *testing.T) {
	cases := []struct {
		name     string
		pause    time.Duration
		upstream string
	}{
		{name: "short pause", pause: time.Second, upstream: "e001"},
		{name: "long pause", pause: time.Minute, upstream: "e000"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := warmPool(route.DefaultLimits(), 2, 2)
			paused, fresh := call("paused", "t"), call("fresh", "t")
			paused.PromptTokens, fresh.PromptTokens = modelCache-1000, 5000
			d := decisionOf(p.Submit(paused, epoch), route.KindAssign)
			assert.Equal(t, d.Assign.Upstream, "e000")
			p.Done(reportOf(d, route.OutcomeCompleted), epoch.Add(time.Second))
			now := epoch.Add(time.Second + c.pause)
			p.Tick(now)
			assert.Equal(t, decisionOf(p.Submit(fresh, now), route.KindAssign).Assign.Upstream, c.upstream)
		})
	}
}

func TestUsable(t *testing.T) {
	services := []conf.Service{
		{Name: "shop", DependsOn: []string{"chat", "pay"}},
		{Name: "chat"},
		{Name: "pay", DependsOn: []string{"bank"}},
		{Name: "bank", DependsOn: []string{"pay"}},
	}
	cases := []struct {
		name     string
		statuses []route.Status
		missing  [4]string
	}{
		{name: "all", statuses: []route.Status{{Service: "bank", Usable: true}}},
		{name: "indirect dependency", statuses: []route.Status{{Service: "bank"}}, missing: [4]string{"bank", "", "bank", "bank"}},
		{name: "itself", statuses: []route.Status{{Service: "chat"}}, missing: [4]string{"chat", "chat", "", ""}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for i, a := range route.Usable(services, c.statuses) {
				assert.Equal(t, a.Missing, c.missing[i], a.Service)
				assert.Equal(t, a.NewPrograms, c.missing[i] == "")
			}
		})
	}
}

func TestMissingDependencyBlocksOnlyNewPrograms(t *testing.T) {
	p := warmPool(route.DefaultLimits(), 1, 1)
	p.SetAdmission(false)
	fresh := call("new", "t")
	fresh.RunningProgram = false
	refused := decisionOf(p.Submit(fresh, epoch), route.KindRefuse)
	assert.Equal(t, refused.Refuse.Reason, route.ErrDependency)
	assert.Equal(t, refused.Refuse.RunState, route.RunStateNotRun)
	assert.Assert(t, decisionOf(p.Submit(call("old", "t"), epoch), route.KindAssign) != nil)
}

func ExamplePool() {
	now := time.Unix(0, 0)
	p := route.NewPool(route.DefaultLimits(), engine.NewCacheIndex(100))
	p.Configure(smallService(1, 1, 1), nil, now)
	for _, id := range []string{"a", "b"} {
		for _, d := range p.Submit(route.Call{ID: id, Relay: "r", Team: "t"}, now) {
			fmt.Println(d.Call, d.Kind == route.KindAssign)
		}
	}
	report := route.Report{Call: "a", Upstream: "e000", Attempt: 1, Outcome: route.OutcomeCompleted}
	for _, d := range p.Done(report, now.Add(time.Second)) {
		fmt.Println(d.Call, d.Assign.Upstream)
	}
	// Output:
	// a true
	// b false
	// b e000
}
