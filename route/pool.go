package route

import (
	"slices"
	"strings"
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/engine"
)

// finishedCalls is how many ended calls a pool remembers, so that a late or
// doubled message can't start one again.
const finishedCalls = 8192

// Pool is the controller of one service. Every method that changes it returns
// the decisions that follow, in the order in which they were made.
type Pool struct {
	limits  Limits
	index   *engine.CacheIndex
	service conf.Service

	upstreams map[string]*upstream
	// order is the upstreams by name.
	order []*upstream
	calls map[string]*entry
	due   *heap[*entry]
	// shared holds the calls that may go to any upstream.
	shared *fairQueue
	// held are suspects that wait to run alone, in order of arrival.
	held      []*entry
	teams     map[string]*team
	weights   map[string]float64
	virtual   float64
	queued    int
	finished  finished
	suspects  suspects
	crashes   []crash
	budget    retryBudget
	estimate  estimate
	pauses    pauses
	settling  settling
	exclusive bool
	blocked   bool
	holders   []engine.Holding
	sweptAt   time.Time
	out       []Decision
	counters  Counters
}

// NewPool returns a pool with exclusive authority and no upstreams. The index
// is shared with whoever feeds it the engines' events; nil means that the
// service's upstreams have no caches.
func NewPool(limits Limits, index *engine.CacheIndex) *Pool {
	p := &Pool{
		limits:    limits,
		index:     index,
		upstreams: make(map[string]*upstream),
		calls:     make(map[string]*entry),
		shared:    newFairQueue(nil),
		teams:     make(map[string]*team),
		weights:   make(map[string]float64),
		finished:  newFinished(finishedCalls),
		suspects:  newSuspects(limits.MaxSuspects),
		budget:    newRetryBudget(&limits),
		estimate:  newEstimate(&limits),
		pauses:    newPauses(),
		exclusive: true,
	}
	p.due = newHeap(
		func(a, b *entry) bool { return a.dueAt(&p.limits).Before(b.dueAt(&p.limits)) },
		func(e *entry, i int) { e.dueIndex = i },
	)
	return p
}

// Configure brings the upstreams into line with the text. An upstream that is
// new or comes back is cold; one that left, or whose failure domain is out,
// gets no new work from now on, while its running calls go on.
func (p *Pool) Configure(service conf.Service, domainsOut []string, now time.Time) []Decision {
	p.service = service
	named := make(map[string]bool, len(service.Upstreams))
	slots := 0
	for _, c := range service.Upstreams {
		slots += c.Slots
		named[c.Name] = true
		p.configure(c, slices.Contains(domainsOut, c.FailureDomain))
	}
	p.budget.grow(slots)
	for _, u := range p.order {
		if !named[u.Name] {
			u.leaving = true
		}
	}
	for _, u := range slices.Clone(p.order) {
		p.leave(u, named[u.Name], now)
	}
	p.fillAll(now)
	return p.take()
}

func (p *Pool) configure(c conf.Upstream, out bool) {
	u := p.upstreams[c.Name]
	if u == nil || u.Address != c.Address {
		p.add(c, u, out)
		return
	}
	if u.leaving && !out {
		u.reset()
	}
	u.leaving = out
	u.Upstream = c
	u.ramp.resize(c.ColdSlots, c.Slots)
}

// add puts in a new upstream. One that changed its address is another server:
// it starts cold, and the calls of the old one count until they end.
func (p *Pool) add(c conf.Upstream, old *upstream, out bool) {
	u := newUpstream(c)
	u.leaving = out
	p.upstreams[c.Name] = u
	if old != nil {
		p.replace(old, u)
		return
	}
	i, _ := slices.BinarySearchFunc(p.order, c.Name, func(u *upstream, name string) int {
		return strings.Compare(u.Name, name)
	})
	p.order = slices.Insert(p.order, i, u)
}

func (p *Pool) replace(old, u *upstream) {
	u.running = old.running
	u.queue = old.queue
	u.queue.upstream = u
	u.live = old.live
	for _, e := range u.running {
		e.upstream = u
		e.generation = -1
	}
	p.order[slices.Index(p.order, old)] = u
	p.dropCache(u)
}

// leave moves the calls that wait for an upstream that is leaving, and forgets
// one that is out of the text once nothing runs on it.
func (p *Pool) leave(u *upstream, named bool, now time.Time) {
	if !u.leaving {
		return
	}
	p.replaceQueued(u, now)
	p.forgetIdle(u, named)
}

func (p *Pool) forgetIdle(u *upstream, named bool) {
	if named || len(u.running) > 0 {
		return
	}
	p.dropCache(u)
	delete(p.upstreams, u.Name)
	p.order = slices.DeleteFunc(p.order, func(o *upstream) bool { return o == u })
}

// named says that the text names the upstream.
func (p *Pool) named(u *upstream) bool {
	return slices.ContainsFunc(p.service.Upstreams, func(c conf.Upstream) bool { return c.Name == u.Name })
}

// SetAuthority says whether this pool alone may admit calls. Without it cold
// upstreams get nothing new and warm ones only Limits.SharedSlots of theirs.
func (p *Pool) SetAuthority(exclusive bool, now time.Time) []Decision {
	if p.exclusive == exclusive {
		return nil
	}
	p.exclusive = exclusive
	p.fillAll(now)
	return p.take()
}

// SetAdmission says whether new programs may begin, from Usable.
func (p *Pool) SetAdmission(newPrograms bool) { p.blocked = !newPrograms }

// SetWeights sets the teams' weights; a team without one has weight 1.
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

// Usable says whether any upstream may get work.
func (p *Pool) Usable(now time.Time) bool {
	return slices.ContainsFunc(p.order, func(u *upstream) bool { return u.usable(now) })
}

func (p *Pool) weight(name string) float64 {
	if w := p.weights[name]; w > 0 {
		return w
	}
	return 1
}

// team returns the team's row. A team that was idle starts from the virtual
// time of now: idling earns no credit.
func (p *Pool) team(name string) *team {
	t := p.teams[name]
	if t == nil {
		t = &team{name: name, weight: p.weight(name)}
		p.teams[name] = t
	}
	if t.queued == 0 {
		t.virtual = max(t.virtual, p.virtual)
	}
	return t
}

// forgetTeam drops a team that has nothing here and owes nothing.
func (p *Pool) forgetTeam(t *team) {
	if t.queued == 0 && t.running == 0 && t.virtual <= p.virtual {
		delete(p.teams, t.name)
	}
}

func (p *Pool) take() []Decision {
	out := p.out
	p.out = nil
	return out
}

func (p *Pool) dropCache(u *upstream) {
	if p.index != nil {
		p.index.Drop(u.Name)
	}
}
