package prog

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/store"
)

const callSeeds = 400

const (
	callRan callKind = iota
	callReplayed
	callNotRun
)

// callModel is one call: it runs at most once, its answer is replayed only
// after that, and notRun is replied only before.
var callModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, o := range history {
			in, _ := o.Input.(callOp)
			byKey[in.key] = append(byKey[in.key], o)
		}
		parts := make([][]porcupine.Operation, 0, len(byKey))
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		in, _ := input.(callOp)
		switch in.kind {
		case callRan:
			return state == "", in.answer
		case callReplayed:
			return state == in.answer, state
		default:
			return state == "", state
		}
	},
}

type (
	callKind int

	callOp struct {
		key    string
		kind   callKind
		answer string
	}

	// callSimulator runs dispatchers over one table in a single thread.
	callSimulator struct {
		t       *testing.T
		random  *rand.Rand
		now     time.Time
		step    int64
		memory  *store.Memory
		faulty  bool
		events  []callEvent
		epochs  []int
		history []porcupine.Operation
		runs    map[string]int
		counts  map[string]int
		claims  int
	}

	callEvent struct {
		instance int
		epoch    int
		run      func()
	}

	// simClaim is one claim of a call at one instance.
	simClaim struct {
		sim      *callSimulator
		claim    *claimer
		instance int
		sentStep int64
	}
)

func (s *callSimulator) fault(percent int) bool { return s.faulty && s.random.IntN(100) < percent }

func (s *callSimulator) enqueue(instance int, run func()) {
	s.events = append(s.events, callEvent{instance: instance, epoch: s.epochs[instance], run: run})
}

func (s *callSimulator) isLive(d Dispatcher) bool {
	if s.fault(20) {
		return s.random.IntN(2) == 0 // the list of instances is stale
	}
	for i, epoch := range s.epochs {
		if d.Instance == fmt.Sprint(i) && d.Epoch == fmt.Sprint(epoch) {
			return true
		}
	}
	return false
}

func (s *callSimulator) startClaim(key string, generated bool) {
	i := s.random.IntN(len(s.epochs))
	s.claims++
	w := &simClaim{sim: s, instance: i, sentStep: s.step}
	w.claim = &claimer{
		request: ClaimRequest{
			Team: "team", Service: "deposits", Key: key, Generated: generated, Digest: "digest",
			Deadline: s.now.Add(time.Duration(s.random.IntN(8000)) * time.Millisecond),
		},
		self:    Dispatcher{Instance: fmt.Sprint(i), Epoch: fmt.Sprint(s.epochs[i])},
		claimID: fmt.Sprint("claim", s.claims),
		isLive:  s.isLive,
	}
	w.handleStep(w.claim.plan(0))
}

// handleStep performs a step of the claim.
func (w *simClaim) handleStep(step claimStep) {
	s := w.sim
	switch {
	case step.reply != nil:
		w.handleReply(step.reply)
	case step.commit != nil:
		s.commit(w.instance, *step.commit, func(version int64, err error) {
			w.handleStep(w.claim.committed(version, err, s.now))
		})
	default:
		s.read(w.instance, w.claim.key(), func(row store.Row, err error) {
			w.handleStep(w.claim.read(row, err, s.now))
		})
	}
}

func (s *callSimulator) commit(instance int, txn store.Txn, then func(int64, error)) {
	s.enqueue(instance, func() {
		version, err := s.attemptCommit(txn)
		s.enqueue(instance, func() { then(version, err) })
	})
}

func (s *callSimulator) attemptCommit(txn store.Txn) (int64, error) {
	late := func() { s.events = append(s.events, callEvent{instance: -1, run: func() { s.memory.Commit(txn) }}) }
	switch {
	case s.fault(10):
		return 0, store.ErrUnavailable
	case s.fault(10):
		late()
		return 0, store.ErrUnknown
	case s.fault(5):
		return 0, store.ErrUnknown
	case s.fault(5):
		late()
	}
	lost := s.fault(10)
	version, against := s.memory.Commit(txn)
	switch {
	case len(against) > 0:
		return 0, store.ErrConflict
	case lost:
		return 0, store.ErrUnknown
	}
	return version, nil
}

func (s *callSimulator) read(instance int, key string, then func(store.Row, error)) {
	s.enqueue(instance, func() {
		row, ok := s.memory.Get(key)
		var err error
		switch {
		case s.fault(15):
			err = store.ErrUnavailable
		case !ok:
			err = store.ErrNotFound
		}
		s.enqueue(instance, func() { then(row, err) })
	})
}

func (w *simClaim) handleReply(r *ClaimReply) {
	s := w.sim
	if w.claim.mayHaveRow {
		row := w.claim.plannedRow()
		row.State = IntentNotRun
		s.settle(w.instance, Claim{RowKey: w.claim.key(), Row: row}, row)
	}
	switch {
	case r.Run != nil:
		s.enqueue(w.instance, func() { w.dispatch(r.Run) })
	case r.Replay != nil:
		w.record(w.sentStep, callReplayed, string(r.Replay.Body))
		s.counts["replayed"]++
	default:
		s.counts[string(r.Refusal.RunState)]++
		if r.Refusal.RunState == NotRun {
			w.record(w.sentStep, callNotRun, "")
		}
	}
}

// dispatch simulates the upstream and counts the runs of the call.
func (w *simClaim) dispatch(c *Claim) {
	s := w.sim
	row := c.Row
	if s.fault(20) { // the upstream refuses the connection
		s.counts["not dispatched"]++
		row.State = IntentNotRun
		s.settle(w.instance, *c, row)
		w.record(w.sentStep, callNotRun, "")
		return
	}
	s.runs[c.RowKey]++
	s.counts["ran"]++
	answer := fmt.Sprint("answer", s.claims, s.step)
	w.record(s.step, callRan, answer)
	row.State = IntentDone
	row.Answer = &CallAnswer{Status: 200, Body: []byte(answer)}
	if s.fault(10) {
		row.State, row.Answer = IntentUnknown, nil
	}
	s.enqueue(w.instance, func() { s.settle(w.instance, *c, row) })
}

func (w *simClaim) record(from int64, kind callKind, answer string) {
	w.sim.history = append(w.sim.history, porcupine.Operation{
		Input: callOp{key: w.claim.key(), kind: kind, answer: answer},
		Call:  from, Return: w.sim.step,
	})
}

func (s *callSimulator) settle(instance int, c Claim, row IntentRow) {
	g, step := newSettler(c, row)
	s.settleStep(instance, g, step)
}

func (s *callSimulator) settleStep(instance int, g *settler, step settleStep) {
	switch {
	case step.commit != nil:
		s.commit(instance, *step.commit, func(_ int64, err error) { s.settleStep(instance, g, g.committed(err)) })
	case step.read || step.wait:
		s.read(instance, g.claim.RowKey, func(row store.Row, err error) { s.settleStep(instance, g, g.read(row, err)) })
	}
}

func (s *callSimulator) runEvent() {
	s.step++
	if s.faulty && s.random.IntN(100) < 5 {
		s.now = s.now.Add(time.Duration(s.random.IntN(1000)) * time.Millisecond)
	}
	if s.fault(2) {
		s.epochs[s.random.IntN(len(s.epochs))]++
		s.counts["died"]++
	}
	if len(s.events) == 0 {
		return
	}
	i := s.random.IntN(len(s.events))
	e := s.events[i]
	s.events[i] = s.events[len(s.events)-1]
	s.events = s.events[:len(s.events)-1]
	if e.instance < 0 || s.epochs[e.instance] == e.epoch {
		e.run()
	}
}

func TestCallsRunAtMostOnce(t *testing.T) {
	total := make(map[string]int)
	for seed := range uint64(callSeeds) {
		s := &callSimulator{
			t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0),
			memory: store.NewMemory(), faulty: true, epochs: make([]int, 3),
			runs: make(map[string]int), counts: total,
		}
		for i := range 300 {
			if i < 40 {
				s.startClaim(fmt.Sprint("key", s.random.IntN(8)), false)
			}
			if i < 5 {
				s.startClaim(fmt.Sprint("generated", i), true)
			}
			s.runEvent()
		}
		s.faulty = false
		for range 5000 {
			s.runEvent()
		}
		for key, runs := range s.runs {
			assert.Assert(t, runs <= 1, "seed %d: %s ran %d times", seed, key, runs)
		}
		assert.Assert(t, porcupine.CheckOperations(callModel, s.history), "seed %d: not linearizable", seed)
	}
	t.Log(total)
	for _, name := range []string{"ran", "replayed", "notRun", "unknown", "died", "not dispatched"} {
		assert.Check(t, total[name] > 0, "no %s", name)
	}
}
