package prog

import (
	"fmt"
	"math"
	"reflect"
	"testing"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
)

const historySeeds = 100

// logModel is a program's history as a log: each appended turn must follow the
// turn that its sender saw.
var logModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byProgram := make(map[string][]porcupine.Operation)
		for _, o := range history {
			in, _ := o.Input.(logAppend)
			byProgram[in.program] = append(byProgram[in.program], o)
		}
		parts := make([][]porcupine.Operation, 0, len(byProgram))
		for _, part := range byProgram {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return logState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, _ := state.(logState)
		in, _ := input.(logAppend)
		if in.turn != s.turns+1 || s.turns > 0 && in.previous != s.head {
			return false, s
		}
		return true, logState{turns: in.turn, head: in.digest}
	},
}

type (
	logAppend struct {
		program  string
		turn     int
		previous string
		digest   string
	}

	logState struct {
		turns int
		head  string
	}
)

// TestHistoryOfTwoAndThreeHomes guards against lost, replaced or reordered
// turns and exceeded budgets when two or three homes own the same programs at
// once. Messages are lost, duplicated and delayed, answers of the store are
// lost, commits take effect late, the store becomes unreachable, and homes
// restart, pause and resume.
func TestHistoryOfTwoAndThreeHomes(t *testing.T) {
	total := make(map[string]int)
	maxUsed := Usage{}
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSimulator(t, seed, 2+int(seed/2%2))
			s.faulty, s.smallBudgets = true, seed%2 == 0
			calls := 6
			if s.smallBudgets {
				calls = 20
			}
			for i := range 2 {
				root := fmt.Sprintf("p-%d", i)
				s.addClient(simClient{program: root, key: "", calls: 2 * calls})
				s.addClient(simClient{program: root, key: "second", calls: calls, joinsProgram: true})
				s.addClient(simClient{program: root, parent: root, key: "agent", calls: calls})
			}
			s.run(6000)
			s.heal()
			s.check()
			for name, count := range s.counts {
				total[name] += count
			}
			total["kept"] += len(s.acknowledged)
			for _, used := range s.runs {
				if s.smallBudgets {
					maxUsed = maxUsed.Max(used)
				}
			}
		})
	}
	t.Logf("%d seeds: %v, most used of a small budget %+v", historySeeds, total, maxUsed)
	for _, name := range []string{"run", "kept", "conflict", "replay", "superseded", string(ReasonBudgetTokens)} {
		assert.Check(t, total[name] > 0, "no %s happened", name)
	}
}

// check compares the replies to senders with the table's content.
func (s *simulator) check() {
	families := s.families()
	acknowledged := make(map[string]simReport)
	for _, k := range s.acknowledged {
		a := families[RootOf(k.end.Program)].agent(k.end.Program)
		assert.Assert(s.t, a != nil && len(a.turns) >= k.end.Turn, "a kept turn is lost")
		digest := newTurn(&k.end).digest
		assert.Equal(s.t, a.turns[k.end.Turn-1].digest, digest, "a kept turn was replaced")
		acknowledged[digest] = k
		before := &agent{turns: a.turns[:k.end.Turn-1]}
		assert.Assert(s.t, reflect.DeepEqual(before.history(), k.history), "history differs from what the call saw")
	}
	s.checkBudgets(families)
	assert.Assert(s.t, porcupine.CheckOperations(logModel, s.operations(families, acknowledged)), "not linearizable")
}

func (s *simulator) checkBudgets(families map[string]*family) {
	budget := s.budget()
	for root, f := range families {
		runs := s.runs[root]
		total := Usage{Calls: budget.Calls, Tokens: budget.Tokens}
		assert.Assert(s.t, runs.Within(total), "%s used %+v of %+v", root, runs, total)
		assert.Assert(s.t, f.ledger.Limit.Within(total), "%s reserved %+v", root, f.ledger.Limit)
	}
}

// operations returns the table's turns as operations, with the call and return
// steps of those that were acknowledged.
func (s *simulator) operations(families map[string]*family, acknowledged map[string]simReport) []porcupine.Operation {
	var history []porcupine.Operation
	for _, f := range families {
		for _, a := range f.agents {
			previous := a.firstDigest
			for i, t := range a.turns {
				o := porcupine.Operation{Return: math.MaxInt64}
				o.Input = logAppend{program: a.program, turn: i + 1, previous: previous, digest: t.digest}
				if k, ok := acknowledged[t.digest]; ok {
					o.Call, o.Return = k.callStep, k.returnStep
				}
				previous = t.digest
				history = append(history, o)
			}
		}
	}
	return history
}
