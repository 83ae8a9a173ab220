package prog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/store"
)

type (
	// simulator runs homes, callers and a table in a single thread. Its random
	// source chooses the order of events and the faults.
	simulator struct {
		t       *testing.T
		random  *rand.Rand
		now     time.Time
		step    int64
		memory  *store.Memory
		objects map[string][]byte
		homes   []*simHome
		events  []simEvent
		clients []*simClient
		// faulty enables lost and duplicated messages and failed commits.
		faulty bool
		// storeDown makes the store unreachable.
		storeDown bool
		// smallBudgets makes calls fail and exhaust a small budget.
		smallBudgets bool
		runs         map[string]Usage
		acknowledged []simReport
		counts       map[string]int
	}

	// simHome is one instance; each restart gives it a new epoch.
	simHome struct {
		name      string
		epoch     int
		paused    bool
		core      *Core
		tickets   Ticket
		callbacks map[Ticket]func(Reply)
	}

	// simEvent is a message in flight. One to a home waits while the home is
	// paused, and is lost when the home restarts.
	simEvent struct {
		home  *simHome
		epoch int
		run   func()
	}

	// simReport is a report with what its sender knows.
	simReport struct {
		end             EndRequest
		history         []Message
		callStep        int64
		returnStep      int64
		committed       bool
		missingPrevious bool // the last reply was ReasonTurn
	}
)

func newSimulator(t *testing.T, seed uint64, homes int) *simulator {
	s := &simulator{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 0)),
		now:     time.Unix(1_700_000_000, 0),
		memory:  store.NewMemory(),
		objects: make(map[string][]byte),
		runs:    make(map[string]Usage),
		counts:  make(map[string]int),
	}
	for i := range homes {
		h := &simHome{name: fmt.Sprintf("home%d", i)}
		s.restart(h)
		s.homes = append(s.homes, h)
	}
	return s
}

// restart replaces a home by one with an empty memory.
func (s *simulator) restart(h *simHome) {
	h.epoch++
	o := DefaultOptions(h.name, fmt.Sprint(h.epoch))
	o.LongPollTimeout, o.QueuePlaceTTL, o.ReportGracePeriod = 4*time.Second, time.Second, time.Second
	o.IdleTimeout, o.EvictDelay, o.DefaultCallTimeout = 10*time.Second, 2*time.Second, 20*time.Second
	h.core = NewCore(o)
	h.callbacks = make(map[Ticket]func(Reply))
	h.paused = false
}

func (s *simulator) chance(percent int) bool { return s.random.IntN(100) < percent }

func (s *simulator) fault(percent int) bool { return s.faulty && s.chance(percent) }

func (s *simulator) enqueue(h *simHome, run func()) {
	e := simEvent{home: h, run: run}
	if h != nil {
		e.epoch = h.epoch
	}
	s.events = append(s.events, e)
}

// request sends a request to a home. The request may be lost or duplicated, and
// the reply may be lost.
func (s *simulator) request(h *simHome, send func(Ticket) []Action, reply func(Reply)) {
	deliver := func() {
		h.tickets++
		h.callbacks[h.tickets] = reply
		s.perform(h, send(h.tickets))
	}
	if s.fault(5) {
		return
	}
	s.enqueue(h, deliver)
	if s.fault(5) {
		s.enqueue(h, deliver)
	}
}

func (s *simulator) perform(h *simHome, actions []Action) {
	for _, a := range actions {
		switch {
		case a.Reply != nil:
			s.deliver(h, *a.Reply)
		case a.Load != nil:
			s.enqueue(nil, func() { s.load(h, h.epoch, a.Load.Root) })
		case a.Commit != nil:
			s.enqueue(nil, func() { s.commit(h, h.epoch, a.Commit) })
		}
	}
}

func (s *simulator) deliver(h *simHome, r Reply) {
	reply := h.callbacks[r.Ticket]
	delete(h.callbacks, r.Ticket)
	if reply == nil || s.fault(5) {
		return
	}
	s.enqueue(nil, func() { reply(r) })
}

// load reads the row and, in a later event, the turns.
func (s *simulator) load(h *simHome, epoch int, root string) {
	result := &LoadResult{Bodies: s.objects}
	failed := s.storeDown || s.fault(10)
	result.Row, _ = s.memory.Get(FamilyKey(root))
	s.enqueue(nil, func() {
		result.Turns = s.memory.Range(turnPrefix(root), "", 1<<20)
		var err error
		if failed {
			result, err = nil, store.ErrUnavailable
		}
		s.events = append(s.events, simEvent{home: h, epoch: epoch, run: func() {
			s.perform(h, h.core.Loaded(root, result, err, s.now))
		}})
	})
}

func (s *simulator) commit(h *simHome, epoch int, c *Commit) {
	version, err := s.attemptCommit(c)
	s.events = append(s.events, simEvent{home: h, epoch: epoch, run: func() {
		s.perform(h, h.core.Committed(c.Root, c.Txn.RequestID, version, err, s.now))
	}})
}

// attemptCommit applies a commit, possibly with a fault: not sent, lost, late,
// duplicated, or applied with a lost answer.
func (s *simulator) attemptCommit(c *Commit) (int64, error) {
	switch {
	case s.storeDown && s.chance(50), s.fault(5):
		return 0, store.ErrUnavailable
	case s.storeDown, s.fault(5):
		return 0, store.ErrUnknown
	case s.fault(7):
		s.enqueue(nil, func() { _, _ = s.apply(c) })
		return 0, store.ErrUnknown
	case s.fault(7):
		_, _ = s.apply(c)
		return 0, store.ErrUnknown
	case s.fault(5):
		s.enqueue(nil, func() { _, _ = s.apply(c) })
	}
	return s.apply(c)
}

func (s *simulator) apply(c *Commit) (int64, error) {
	existing := s.countExisting(c)
	version, against := s.memory.Commit(c.Txn)
	if len(against) > 0 {
		s.counts["conflict"]++
		return 0, store.ErrConflict
	}
	for _, o := range c.Objects {
		s.objects[o.Name] = o.Body
	}
	assert.Equal(s.t, existing, 0, "a turn was overwritten")
	return version, nil
}

// countExisting counts the turns of a commit that the table has already.
func (s *simulator) countExisting(c *Commit) int {
	count := 0
	for _, w := range c.Txn.Writes[1:] {
		if _, ok := s.memory.Get(w.Key); ok {
			count++
		}
	}
	return count
}

// run executes steps; each is a message, a client's request, a tick or a fault.
func (s *simulator) run(steps int) {
	for range steps {
		s.step++
		switch p := s.random.IntN(100); {
		case p < 12:
			s.clients[s.random.IntN(len(s.clients))].sendNext()
		case p < 20:
			s.tick()
		case p < 22 && s.faulty:
			s.injectFault()
		default:
			s.runEvent()
		}
	}
}

func (s *simulator) tick() {
	s.now = s.now.Add(time.Duration(s.random.IntN(400)) * time.Millisecond)
	for _, h := range s.homes {
		if !h.paused {
			s.perform(h, h.core.Tick(s.now))
		}
	}
}

// injectFault restarts, pauses, resumes or unloads a home, or switches the
// store's reachability.
func (s *simulator) injectFault() {
	h := s.homes[s.random.IntN(len(s.homes))]
	switch p := s.random.IntN(100); {
	case p < 15:
		s.restart(h)
	case p < 35:
		h.paused = true
	case p < 75:
		h.paused = false
	case p < 85:
		for shard := range Shards {
			s.perform(h, h.core.Unload(shard, s.now))
		}
	default:
		s.storeDown = !s.storeDown && s.chance(50)
	}
}

func (s *simulator) runEvent() {
	if len(s.events) == 0 {
		return
	}
	i := s.random.IntN(len(s.events))
	e := s.events[i]
	if e.home != nil && e.home.paused && e.home.epoch == e.epoch {
		return
	}
	s.events = slices.Delete(s.events, i, i+1)
	if e.home == nil || e.home.epoch == e.epoch {
		e.run()
	}
}

// heal ends all faults, restarts one home, removes the others, and runs until
// every client has finished.
func (s *simulator) heal() {
	s.faulty, s.storeDown = false, false
	for _, h := range s.homes {
		s.restart(h)
	}
	s.homes = s.homes[:1]
	for range 200 {
		s.run(200)
		if !slices.ContainsFunc(s.clients, func(c *simClient) bool { return !c.finished() }) {
			return
		}
	}
	for _, c := range s.clients {
		assert.Check(s.t, c.finished(), "%s in phase %d, call %d, %d reports left: %+v", c.program, c.phase, c.number, len(c.pendingReports), c.call)
	}
	s.t.FailNow()
}

// families restores the table's families, which validates their chains.
func (s *simulator) families() map[string]*family {
	families := make(map[string]*family)
	for _, row := range s.memory.Range("program/", "", 1<<20) {
		root := strings.TrimPrefix(row.Key, "program/")
		result := &LoadResult{Row: row, Turns: s.memory.Range(turnPrefix(root), "", 1<<20), Bodies: s.objects}
		f, err := restore(result, s.now)
		assert.NilError(s.t, err)
		families[root] = f
	}
	return families
}

func (s *simulator) budget() conf.Budget {
	if s.smallBudgets {
		return conf.Budget{Calls: 20, Tokens: 2500, Seconds: 3600}
	}
	return conf.Budget{Calls: 40, Tokens: 6000, Seconds: 3600}
}
