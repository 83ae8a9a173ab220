package route_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/route"
)

const (
	modelPrefill = 8000 // tokens/s per engine
	modelDecode  = 60   // tokens/s per call
	modelSlots   = 16
	modelCold    = 2
	modelCache   = 400_000
	modelLag     = time.Second
	modelTick    = 50 * time.Millisecond
	modelRelay   = "relay"
)

type (
	// model is an event-driven simulation of engines and programs in virtual
	// time.
	model struct {
		random     *rand.Rand
		now        time.Time
		start      time.Time
		events     eventHeap
		seq        int
		controller route.Controller
		index      *engine.CacheIndex
		service    conf.Service
		pause      float64
		// lateWork counts calls sent to a failure domain that is out.
		domainOut     string
		lateWork      int
		engines       map[string]*modelEngine
		calls         map[string]*modelCall
		longestCached map[string]int
		teams         int

		prompt, wasted int
		latencies      map[string][]float64
		ideals         []float64
		ratios         map[string][]float64
		refused        int
		unfinished     int
		coldOverloads  int
		onAssign       func(c *modelCall)
	}

	event struct {
		at  time.Time
		seq int
		do  func()
	}

	eventHeap []event

	modelEngine struct {
		conf.Upstream
		free        int
		waiting     []*modelCall
		prefillFree time.Time
		cache       map[string]int
		recent      []string
		running     map[string]int
		inFlight    int
		cold        bool
		completed   int
		sequence    int64
		pending     []engine.CacheEvent
	}

	modelProgram struct {
		id, team string
		began    time.Time
		ideal    time.Duration
		history  int
		turn     int
		turns    int
		service  int64
	}

	modelCall struct {
		route.Call
		program *modelProgram
		answer  int
		engine  *modelEngine
		attempt int
		cached  int
		sentAt  time.Time
		firstAt time.Time
	}

	// modelSetup is the load and the faults of one simulation.
	modelSetup struct {
		seed     uint64
		engines  int
		programs int
		// load is relative to the engines' capacity with a warm cache.
		load float64
		// noisy multiplies the first team's rate.
		noisy float64
		cold  bool
		// pause is the mean tool pause in seconds; zero means 1.
		pause float64
		// outFrom and outTo are when failure domain "a" is out; zero means never.
		outFrom, outTo time.Duration
		// coldAt is when the first engine turns cold unannounced.
		coldAt time.Duration
	}
)

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func modelService(engines int) conf.Service {
	s := conf.Service{Name: "chat", Kind: conf.KindModel}
	for i := range engines {
		s.Upstreams = append(s.Upstreams, conf.Upstream{
			Name:          fmt.Sprintf("e%03d", i),
			Address:       fmt.Sprintf("10.0.%d.%d:80", i/256, i%256),
			FailureDomain: string(rune('a' + i%3)),
			Slots:         modelSlots,
			ColdSlots:     modelCold,
			CacheTokens:   modelCache,
		})
	}
	return s
}

func newModel(s modelSetup, naive bool) *model {
	start := time.Unix(1_000_000, 0)
	m := &model{
		random:        rand.New(rand.NewPCG(s.seed, 1)),
		now:           start,
		start:         start,
		index:         engine.NewCacheIndex(100_000),
		service:       modelService(s.engines),
		engines:       make(map[string]*modelEngine),
		calls:         make(map[string]*modelCall),
		longestCached: make(map[string]int),
		latencies:     make(map[string][]float64),
		ratios:        make(map[string][]float64),
		teams:         8,
		pause:         max(s.pause, 0),
	}
	if m.pause == 0 {
		m.pause = 1
	}
	m.controller = route.NewPool(route.DefaultLimits(), m.index)
	if naive {
		m.controller = route.NewNaive()
	}
	for _, u := range m.service.Upstreams {
		m.engines[u.Name] = &modelEngine{
			Upstream: u, free: u.Slots, cold: s.cold,
			cache: make(map[string]int), running: make(map[string]int),
		}
	}
	if !s.cold {
		m.warm()
	}
	m.apply(m.controller.Configure(m.service, nil, m.now))
	m.scheduleArrivals(s)
	m.scheduleFaults(s)
	m.tick()
	m.report()
	return m
}

// warm gives the controller the state of engines past their slow start.
func (m *model) warm() {
	warmths := make([]route.Warmth, 0, len(m.service.Upstreams))
	for _, u := range m.service.Upstreams {
		warmths = append(warmths, route.Warmth{Upstream: u.Name, Epoch: "1", Allowance: u.Slots})
	}
	m.controller.Configure(m.service, nil, m.now)
	m.controller.AwaitRelays([]string{modelRelay}, m.now.Add(time.Second))
	m.controller.Adopt(route.RelayState{Relay: modelRelay, Warmths: warmths}, m.now)
	for _, u := range m.service.Upstreams {
		m.controller.ObserveLoad(u.Name, engine.Load{Epoch: "1"}, m.now)
	}
}

func (m *model) at(t time.Time, do func()) {
	m.seq++
	heap.Push(&m.events, event{at: t, seq: m.seq, do: do})
}

// scheduleArrivals generates the programs. The load is relative to the capacity
// of the slots or of the prefill with a warm cache, whichever is lower.
func (m *model) scheduleArrivals(s modelSetup) {
	programs := make([]*modelProgram, 0, s.programs)
	slotTime, prefill := 0.0, 0.0
	shape := rand.New(rand.NewPCG(s.seed, 2))
	for i := range s.programs {
		p := m.program(shape, i, s)
		programs = append(programs, p)
		tokens := float64(1500 + p.turns*500)
		slotTime += tokens/modelPrefill + float64(p.turns)*100/modelDecode
		prefill += tokens / modelPrefill
	}
	capacity := min(float64(s.engines*modelSlots)/slotTime, float64(s.engines)/prefill) * float64(s.programs)
	rate := capacity * s.load * (float64(m.teams-1) + max(s.noisy, 1)) / float64(m.teams)
	t := m.start
	for _, p := range programs {
		t = t.Add(seconds(shape.ExpFloat64() / rate))
		m.at(t, func() {
			p.began = m.now
			m.turn(p)
		})
	}
	m.unfinished = s.programs
}

// scheduleFaults schedules the run's faults.
func (m *model) scheduleFaults(s modelSetup) {
	if s.outTo > 0 {
		m.at(m.start.Add(s.outFrom), func() { m.setDomainOut("a") })
		m.at(m.start.Add(s.outTo), func() { m.setDomainOut("") })
	}
	if s.coldAt > 0 {
		m.at(m.start.Add(s.coldAt), func() {
			e := m.engines["e000"]
			e.cold, e.completed, e.cache = true, 0, make(map[string]int)
		})
	}
}

// setDomainOut takes a failure domain out, or returns it with cold engines.
func (m *model) setDomainOut(domain string) {
	for _, u := range m.service.Upstreams {
		if e := m.engines[u.Name]; domain == "" && e.FailureDomain == m.domainOut {
			e.cold, e.completed, e.cache = true, 0, make(map[string]int)
		}
	}
	m.domainOut = domain
	m.apply(m.controller.Configure(m.service, []string{domain}, m.now))
}

func (m *model) program(r *rand.Rand, i int, s modelSetup) *modelProgram {
	team := r.Float64() * (float64(m.teams-1) + max(s.noisy, 1))
	name := 0
	if team >= max(s.noisy, 1) {
		name = 1 + int(team-max(s.noisy, 1))
	}
	return &modelProgram{
		id:      fmt.Sprintf("p%05d", i),
		team:    fmt.Sprintf("t%d", min(name, m.teams-1)),
		history: 1000 + r.IntN(1000),
		turns:   2 + min(int(r.ExpFloat64()*6), 40),
	}
}

func (m *model) turn(p *modelProgram) {
	p.turn++
	added := 250 + m.random.IntN(500)
	p.history += added
	c := &modelCall{program: p, answer: 40 + m.random.IntN(120)}
	c.Call = route.Call{
		ID: fmt.Sprintf("%s/%d", p.id, p.turn), Relay: modelRelay, Program: p.id, Root: p.id, Team: p.team,
		PromptTokens: p.history, AttainedService: p.service, RunningProgram: p.turn > 1,
		Repeatable: true, Fingerprint: uint64(m.seq) + 1,
	}
	fresh := added
	if p.turn == 1 {
		fresh = p.history
	}
	p.ideal += seconds(float64(fresh)/modelPrefill + float64(c.answer)/modelDecode)
	m.calls[c.ID] = c
	m.apply(m.controller.Submit(c.Call, m.now))
}

func (m *model) apply(decisions []route.Decision) {
	for _, d := range decisions {
		switch d.Kind {
		case route.KindAssign:
			m.dispatch(m.calls[d.Call], d.Assign)
		case route.KindRefuse:
			m.refused++
			m.unfinished--
			delete(m.calls, d.Call)
		}
	}
}

func (m *model) dispatch(c *modelCall, a *route.Assign) {
	e := m.engines[a.Upstream]
	c.engine, c.attempt, c.sentAt = e, a.Attempt, m.now
	if e.FailureDomain == m.domainOut {
		m.lateWork++
	}
	if m.onAssign != nil {
		m.onAssign(c)
	}
	e.inFlight++
	if e.cold && e.inFlight > e.ColdSlots+e.completed {
		m.coldOverloads++
	}
	e.waiting = append(e.waiting, c)
	m.serve(e)
}

func (m *model) serve(e *modelEngine) {
	for e.free > 0 && len(e.waiting) > 0 {
		c := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.free--
		m.run(e, c)
	}
}

func (m *model) run(e *modelEngine, c *modelCall) {
	slow := 1.0
	if e.cold {
		slow = 3
	}
	c.cached = min(e.cache[c.Program], c.PromptTokens)
	e.running[c.Program]++
	m.prompt += c.PromptTokens
	m.wasted += max(min(m.longestCached[c.Program], c.PromptTokens)-c.cached, 0)
	if e.prefillFree.Before(m.now) {
		e.prefillFree = m.now
	}
	e.prefillFree = e.prefillFree.Add(seconds(slow * float64(c.PromptTokens-c.cached) / modelPrefill))
	c.firstAt = e.prefillFree.Add(seconds(slow / modelDecode))
	m.at(e.prefillFree.Add(seconds(slow*float64(c.answer)/modelDecode)), func() { m.complete(e, c) })
}

func (m *model) complete(e *modelEngine, c *modelCall) {
	e.free++
	e.inFlight--
	e.completed++
	e.cold = e.cold && e.ColdSlots+e.completed < e.Slots
	e.running[c.Program]--
	p := c.program
	p.history += c.answer
	p.service += int64(c.PromptTokens - c.cached + c.answer)
	m.store(e, p.id, p.history)
	delete(m.calls, c.ID)
	m.apply(m.controller.Done(route.Report{
		Call: c.ID, Upstream: e.Name, Attempt: c.attempt, Relay: modelRelay, Outcome: route.OutcomeCompleted,
		Delivered: true, FirstToken: c.firstAt.Sub(c.sentAt), Tokens: c.answer, CachedTokens: c.cached,
	}, m.now))
	m.serve(e)
	if p.turn == p.turns {
		m.end(p)
		return
	}
	pause := seconds(0.1 + m.pause*m.random.ExpFloat64())
	p.ideal += pause
	m.at(m.now.Add(pause), func() { m.turn(p) })
}

// end frees the program's prefixes a little later, as the sweep of ended
// programs does.
func (m *model) end(p *modelProgram) {
	m.unfinished--
	took := m.now.Sub(p.began)
	m.latencies[p.team] = append(m.latencies[p.team], took.Seconds())
	m.ratios[p.team] = append(m.ratios[p.team], took.Seconds()/p.ideal.Seconds())
	m.ideals = append(m.ideals, p.ideal.Seconds())
	m.at(m.now.Add(modelLag), func() {
		for _, e := range m.engines {
			delete(e.cache, p.id)
			m.index.Release(e.Name, p.id)
		}
	})
}

// store caches the prefix and evicts the least recently used ones.
func (m *model) store(e *modelEngine, program string, tokens int) {
	e.cache[program] = tokens
	m.longestCached[program] = max(m.longestCached[program], tokens)
	e.recent = append(slices.DeleteFunc(e.recent, func(p string) bool {
		return p == program || e.cache[p] == 0
	}), program)
	m.sendEvent(e, engine.EventStored, program, tokens)
	used := 0
	for _, t := range e.cache {
		used += t
	}
	for _, victim := range slices.Clone(e.recent) {
		if used <= e.CacheTokens {
			return
		}
		if victim != program && e.running[victim] == 0 {
			used -= e.cache[victim]
			delete(e.cache, victim)
			m.sendEvent(e, engine.EventEvicted, victim, 0)
		}
	}
}

// sendEvent delivers a cache event after the lag; one in ten is lost.
func (m *model) sendEvent(e *modelEngine, kind engine.EventKind, program string, tokens int) {
	e.sequence++
	if m.random.IntN(10) == 0 {
		return
	}
	event := engine.CacheEvent{Sequence: e.sequence, Kind: kind, Program: program, Tokens: tokens}
	m.at(m.now.Add(modelLag), func() { e.pending = append(e.pending, event) })
}

func (m *model) tick() {
	m.apply(m.controller.Tick(m.now))
	if m.unfinished > 0 {
		m.at(m.now.Add(modelTick), m.tick)
	}
}

// report delivers each engine's load and cache events after the lag.
func (m *model) report() {
	for _, u := range m.service.Upstreams {
		e := m.engines[u.Name]
		load := engine.Load{Epoch: "1", Running: e.inFlight - len(e.waiting), Queued: len(e.waiting), Coldish: e.cold}
		m.at(m.now.Add(modelLag), func() { m.apply(m.controller.ObserveLoad(e.Name, load, m.now)) })
		if m.index.Apply(e.Name, engine.CacheEvents{Events: e.pending}, m.now) {
			m.relist(e)
		}
		e.pending = nil
	}
	if m.unfinished > 0 {
		m.at(m.now.Add(modelLag), m.report)
	}
}

func (m *model) relist(e *modelEngine) {
	list := engine.CacheList{Sequence: e.sequence}
	for program, tokens := range e.cache {
		list.Entries = append(list.Entries, engine.CacheEntry{Program: program, Tokens: tokens})
	}
	slices.SortFunc(list.Entries, func(a, b engine.CacheEntry) int { return b.Tokens - a.Tokens })
	m.at(m.now.Add(modelLag/10), func() { m.index.Replace(e.Name, list, m.now) })
}

// runEvents runs all events up to the limit of virtual time.
func (m *model) runEvents(limit time.Duration) {
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		if e.at.Sub(m.start) > limit {
			return
		}
		m.now = e.at
		e.do()
	}
}

func percentile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func (m *model) all() []float64 {
	out := make([]float64, 0, len(m.ideals))
	for i := range m.teams {
		out = append(out, m.latencies[fmt.Sprintf("t%d", i)]...)
	}
	return out
}

func (m *model) wastedRatio() float64 { return float64(m.wasted) / float64(max(m.prompt, 1)) }

// worstRatio returns the worst team's p95 slowdown over the median team's,
// without the first team if it is the noisy one.
func (m *model) worstRatio(skipFirst bool) float64 {
	var slow []float64
	for i := range m.teams {
		if i > 0 || !skipFirst {
			slow = append(slow, percentile(m.ratios[fmt.Sprintf("t%d", i)], 0.95))
		}
	}
	return percentile(slow, 1) / percentile(slow, 0.5)
}
