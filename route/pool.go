package route

import (
	"slices"
	"strings"
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/engine"
)

// maxFinishedCalls is how many ended calls a pool remembers, so that a late or
// duplicate message can't start one again.
const maxFinishedCalls = 8192

// Pool is the controller of one service. Each method that changes it returns
// the resulting decisions in order.
type Pool struct {
	limits  Limits
	index   *engine.CacheIndex
	service conf.Service

	upstreams map[string]*upstream
	// byName is the upstreams sorted by name.
	byName []*upstream
	calls  map[string]*entry
	due    *heap[*entry]
	// shared holds the calls that may go to any upstream.
	shared *fairQueue
	// held are suspects, which wait to be isolated, and retries, in order of
	// arrival.
	held               []*entry
	teams              map[string]*team
	weights            map[string]float64
	virtualTime        float64
	queued             int
	finished           finished
	suspects           suspects
	crashes            []crash
	retryBudget        retryBudget
	estimate           estimate
	pauses             pauses
	settling           settling
	exclusive          bool
	newProgramsBlocked bool
	holdingsBuffer     []engine.Holding
	sweptAt            time.Time
	decisions          []Decision
	counters           Counters
}

// NewPool returns a pool with exclusive authority and no upstreams. The index
// is shared with the consumer of the engines' cache events; nil means that the
// service's upstreams have no caches.
func NewPool(limits Limits, index *engine.CacheIndex) *Pool {
	p := &Pool{
		limits:      limits,
		index:       index,
		upstreams:   make(map[string]*upstream),
		calls:       make(map[string]*entry),
		shared:      newFairQueue(nil),
		teams:       make(map[string]*team),
		weights:     make(map[string]float64),
		finished:    newFinished(maxFinishedCalls),
		suspects:    newSuspects(limits.MaxSuspects),
		retryBudget: newRetryBudget(&limits),
		estimate:    newEstimate(&limits),
		pauses:      newPauses(),
		exclusive:   true,
	}
	p.due = newHeap(
		func(a, b *entry) bool { return a.dueAt(&p.limits).Before(b.dueAt(&p.limits)) },
		func(e *entry, i int) { e.dueIndex = i },
	)
	return p
}

// Configure applies the configured upstreams. One that is new or returns is
// cold; one that was removed, or whose failure domain is out, gets no new work,
// while its running calls continue.
func (p *Pool) Configure(service conf.Service, domainsOut []string, now time.Time) []Decision {
	p.service = service
	configured := make(map[string]bool, len(service.Upstreams))
	slots := 0
	for _, c := range service.Upstreams {
		slots += c.Slots
		configured[c.Name] = true
		p.configure(c, slices.Contains(domainsOut, c.FailureDomain))
	}
	p.retryBudget.grow(slots)
	for _, u := range p.byName {
		if !configured[u.Name] {
			u.leaving = true
		}
	}
	for _, u := range slices.Clone(p.byName) {
		p.requeueLeaving(u, configured[u.Name], now)
	}
	p.dispatchAll(now)
	return p.takeDecisions()
}

func (p *Pool) configure(c conf.Upstream, domainOut bool) {
	u := p.upstreams[c.Name]
	if u == nil || u.Address != c.Address {
		p.add(c, u, domainOut)
		return
	}
	if u.leaving && !domainOut {
		u.reset()
	}
	u.leaving = domainOut
	u.Upstream = c
	u.ramp.resize(c.ColdSlots, c.Slots)
}

// add adds a new upstream. One with a changed address is another server: it
// starts cold, and the old server's calls count until they end.
func (p *Pool) add(c conf.Upstream, old *upstream, domainOut bool) {
	u := newUpstream(c)
	u.leaving = domainOut
	p.upstreams[c.Name] = u
	if old != nil {
		p.replace(old, u)
		return
	}
	i, _ := slices.BinarySearchFunc(p.byName, c.Name, func(u *upstream, name string) int {
		return strings.Compare(u.Name, name)
	})
	p.byName = slices.Insert(p.byName, i, u)
}

func (p *Pool) replace(old, u *upstream) {
	u.running = old.running
	u.queue = old.queue
	u.queue.upstream = u
	u.liveTokens = old.liveTokens
	for _, e := range u.running {
		e.upstream = u
		e.generation = -1
	}
	p.byName[slices.Index(p.byName, old)] = u
	p.dropCache(u)
}

// requeueLeaving moves the queued calls off an upstream that is leaving, and
// removes one that is no longer configured once it is idle.
func (p *Pool) requeueLeaving(u *upstream, isConfigured bool, now time.Time) {
	if !u.leaving {
		return
	}
	p.requeue(u, now)
	p.removeIdle(u, isConfigured)
}

func (p *Pool) removeIdle(u *upstream, isConfigured bool) {
	if isConfigured || len(u.running) > 0 {
		return
	}
	p.dropCache(u)
	delete(p.upstreams, u.Name)
	p.byName = slices.DeleteFunc(p.byName, func(o *upstream) bool { return o == u })
}

// configured reports whether the configuration contains the upstream.
func (p *Pool) configured(u *upstream) bool {
	return slices.ContainsFunc(p.service.Upstreams, func(c conf.Upstream) bool { return c.Name == u.Name })
}

// SetAuthority sets whether this pool alone may admit calls. Without that, cold
// upstreams get no new calls and warm ones only Limits.SharedSlots of their
// slots.
func (p *Pool) SetAuthority(exclusive bool, now time.Time) []Decision {
	if p.exclusive == exclusive {
		return nil
	}
	p.exclusive = exclusive
	p.dispatchAll(now)
	return p.takeDecisions()
}

// SetAdmission sets whether new programs may begin, as returned by Usable.
func (p *Pool) SetAdmission(newPrograms bool) { p.newProgramsBlocked = !newPrograms }

// SetWeights sets the teams' weights; the default is 1.
func (p *Pool) SetWeights(weights []TeamWeight) {
	clear(p.weights)
	for _, w := range weights {
		p.weights[w.Team] = w.Weight
	}
	for _, t := range p.teams {
		t.weight = p.weight(t.name)
	}
}

// TeamWeight is a team's share under load, such as its granted rate.
type TeamWeight struct {
	Team   string
	Weight float64
}

// Usable reports whether any upstream may get work.
func (p *Pool) Usable(now time.Time) bool {
	return slices.ContainsFunc(p.byName, func(u *upstream) bool { return u.usable(now) })
}

func (p *Pool) weight(name string) float64 {
	if w := p.weights[name]; w > 0 {
		return w
	}
	return 1
}

// team returns the team's entry. A team that was idle starts at the current
// virtual time: idling earns no credit.
func (p *Pool) team(name string) *team {
	t := p.teams[name]
	if t == nil {
		t = &team{name: name, weight: p.weight(name)}
		p.teams[name] = t
	}
	if t.queued == 0 {
		t.virtualTime = max(t.virtualTime, p.virtualTime)
	}
	return t
}

// removeIdleTeam removes a team that has no calls and whose virtual time is not
// ahead of the pool's.
func (p *Pool) removeIdleTeam(t *team) {
	if t.queued == 0 && t.running == 0 && t.virtualTime <= p.virtualTime {
		delete(p.teams, t.name)
	}
}

func (p *Pool) takeDecisions() []Decision {
	decisions := p.decisions
	p.decisions = nil
	return decisions
}

func (p *Pool) dropCache(u *upstream) {
	if p.index != nil {
		p.index.Drop(u.Name)
	}
}
