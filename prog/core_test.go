package prog

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/store"
)

var (
	testBudget  = conf.Budget{Calls: 8, Tokens: 100_000, Seconds: 600}
	largeBudget = conf.Budget{Calls: 80, Tokens: 100_000, Seconds: 600}
)

func TestBudgetHoldsWhereTwoHomesOpenTheProgram(t *testing.T) {
	memory := store.NewMemory()
	a, b := newLab(t, "a", memory), newLab(t, "b", memory)
	a.mode = storeAway
	assert.Assert(t, a.open("p-1", testBudget, false) == nil, "answered before the bound")
	a.pass(time.Second)
	assert.Assert(t, !a.replies[1].Open.Kept)

	assert.Assert(t, b.open("p-1", testBudget, true).Kept)
	ranAtB := b.spend("p-1", "b")
	ranAtA := a.spend("p-1", "a")
	assert.Equal(t, ranAtA, 4)
	assert.Equal(t, ranAtB, 4)
}

func TestBudgetHoldsOverHomesThatDie(t *testing.T) {
	memory := store.NewMemory()
	newLab(t, "first", memory).open("p-1", testBudget, false)
	total := 0
	for i := range 5 {
		l := newLab(t, fmt.Sprint("home", i), memory)
		r := callOf("p-1", fmt.Sprint("call", i))
		if reply := l.begin(r); reply.Start != nil {
			total++
		}
		l.mode = storeAway
		total += l.spend("p-1", fmt.Sprint("more", i))
	}
	assert.Assert(t, total > 0 && total <= int(testBudget.Calls), "%d calls", total)
}

func TestTakingOverCostsNoSecondChunk(t *testing.T) {
	memory := store.NewMemory()
	first := newLab(t, "first", memory)
	first.core.options.ChunksPerBudget = 8
	first.open("p-1", largeBudget, false)
	for i := range 5 {
		l := newLab(t, fmt.Sprint("home", i), memory)
		l.core.options.ChunksPerBudget = 8
		l.start(callOf("p-1", fmt.Sprint("call", i)))
	}
	row, _ := memory.Get(FamilyKey("p-1"))
	f, err := DecodeFamily(row.Value)
	assert.NilError(t, err)
	assert.Equal(t, f.Reserved.Calls, int64(10+5))
}

func TestPlannedMoveLosesNoBudget(t *testing.T) {
	memory := store.NewMemory()
	first := newLab(t, "first", memory)
	first.open("p-1", testBudget, false)
	first.do(first.core.Unload(ShardOf("p-1"), first.now))
	total := 0
	for i := range 20 {
		l := newLab(t, fmt.Sprint("home", i), memory)
		r := callOf("p-1", fmt.Sprint("call", i))
		if reply := l.begin(r); reply.Start != nil {
			total++
			l.end(endOf(r, reply.Start, "answer"))
		}
		l.do(l.core.Unload(ShardOf("p-1"), l.now))
		assert.Equal(t, l.core.Remaining(ShardOf("p-1")), 0)
	}
	assert.Equal(t, total, int(testBudget.Calls))
}

func TestUnusedReservationIsNotSpentWhileItIsGivenBack(t *testing.T) {
	l := newLab(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	l.turn("p-1", "c1")
	l.pass(l.core.options.IdleTimeout)
	l.mode = storeHeld
	l.pass(l.core.options.EvictDelay)
	assert.Equal(t, len(l.held), 1, "no commit gives the reservation back")
	assert.Assert(t, l.begin(callOf("p-1", "c2")) == nil, "spends what it is giving back")
	l.release()
	assert.Assert(t, l.replies[l.ticket].Begin.Start != nil)
}

func TestCallBeyondTheMarkIsRefusedWhileTheStoreIsAway(t *testing.T) {
	l := newLab(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	l.mode = storeAway
	assert.Equal(t, l.spend("p-1", "below the mark"), 4)
	l.pass(l.core.options.DefaultCallTimeout)
	refusal := l.replies[l.ticket].Begin.Refusal
	assert.DeepEqual(t, *refusal, Refusal{Reason: ReasonStore, RunState: NotRun, Retryable: true})
	l.mode = storeUp
	l.pass(l.core.options.RetryInterval)
	assert.Equal(t, l.spend("p-1", "beyond it"), 4)
}

func TestLostAnswerCostsNoBudget(t *testing.T) {
	l := newLab(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	l.mode = storeLost
	end := l.turn("p-1", "c1")
	assert.Assert(t, l.end(end).Kept)
	l.mode = storeUp
	assert.Equal(t, l.spend("p-1", "more"), int(testBudget.Calls)-1)
}

// conflicted returns two homes of one program: the second has written, the
// first runs a call and does not know yet.
func conflicted(t *testing.T) (a, b *lab, r BeginRequest, start *Start) {
	memory := store.NewMemory()
	a, b = newLab(t, "a", memory), newLab(t, "b", memory)
	a.core.options.ChunksPerBudget, b.core.options.ChunksPerBudget = 8, 8
	a.open("p-1", largeBudget, false)
	r = callOf("p-1", "slow")
	start = a.start(r)
	b.turn("p-1", "fast")
	return a, b, r, start
}

func TestLoserOfTwoHomesReloads(t *testing.T) {
	a, _, r, start := conflicted(t)
	lost := a.end(endOf(r, start, "too late"))
	assert.Assert(t, lost.Superseded)
	assert.Equal(t, string(lost.Stored.Answer.Body), "answer fast")
	next := a.start(callOf("p-1", "next"))
	assert.Equal(t, next.Turn, 2)
	assert.Equal(t, string(next.History[1].Body), "answer fast")
}

func TestStaleHomeStartsNothingBeforeItHasReloaded(t *testing.T) {
	a, _, r, start := conflicted(t)
	a.mode = storeHeld
	a.end(endOf(r, start, "too late"))
	c := a.held[0]
	a.mode = storeAway
	a.do(a.core.Committed(c.Root, c.Txn.RequestID, 0, store.ErrConflict, a.now))
	assert.Assert(t, a.begin(callOf("p-1", "next")) == nil)
	a.mode = storeUp
	a.pass(a.core.options.RetryInterval)
	assert.Equal(t, a.replies[a.ticket].Begin.Start.Turn, 2)
}

func TestReservationOfTheLoserStaysSpent(t *testing.T) {
	memory := store.NewMemory()
	a, b := newLab(t, "a", memory), newLab(t, "b", memory)
	a.open("p-1", testBudget, false)
	l := a.core.families.Get("p-1")
	r := callOf("p-1", "slow")
	start := a.start(r)
	b.begin(callOf("p-1", "other"))
	a.do(a.core.CloseProgram(99, CloseRequest{Program: "p-1", Team: "team"}, a.now))
	before := l.ledger.Charged()
	end := endOf(r, start, "")
	end.Outcome = OutcomeFailed
	a.end(end)
	assert.Equal(t, l.ledger.Held, Usage{})
	assert.Equal(t, l.ledger.Charged(), before)
}

func TestReportOnAnotherTurnIsSuperseded(t *testing.T) {
	memory := store.NewMemory()
	a, b := newLab(t, "a", memory), newLab(t, "b", memory)
	a.open("p-1", testBudget, false)
	a.turn("p-1", "c1")
	end := endOf(callOf("p-1", "c2"), &Start{Turn: 2, Previous: "of another turn"}, "strange")
	assert.Assert(t, b.end(end).Superseded)
}

func TestTurnIsKeptOnlyAfterItsCommit(t *testing.T) {
	l := newLab(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	l.mode = storeHeld
	end := l.turn("p-1", "c1")
	waiting := l.ticket
	assert.Assert(t, l.replies[waiting].End == nil)
	l.pass(l.core.options.KeptBound)
	assert.DeepEqual(t, *l.replies[waiting].End, EndReply{})
	assert.Equal(t, l.start(callOf("p-1", "c2")).Turn, 2, "the program goes on in memory")
	l.release()
	assert.Assert(t, l.end(end).Kept)
}

// TestRelaysCarryTurnsToTheNextHome lets a home die while the store is away.
func TestRelaysCarryTurnsToTheNextHome(t *testing.T) {
	memory := store.NewMemory()
	a := newLab(t, "a", memory)
	a.open("p-1", testBudget, false)
	a.mode = storeAway
	carried := []EndRequest{a.turn("p-1", "c1"), a.turn("p-1", "c2")}
	running := callOf("p-1", "c3")
	start := a.start(running)

	b := newLab(t, "b", memory)
	shard := ShardOf("p-1")
	b.core.BlockTurns(shard)
	next := callOf("p-1", "c4")
	assert.Assert(t, b.begin(next) == nil)
	waiting := b.ticket
	early := b.end(carried[1])
	assert.Equal(t, early.Refusal.Reason, ReasonTurn)
	assert.Assert(t, early.Refusal.Retryable)
	assert.Assert(t, b.end(carried[0]).Kept)
	assert.Assert(t, b.end(carried[1]).Kept)
	b.do(b.core.Resume(Running{Begin: running, Turn: start.Turn, Previous: start.Previous}, b.now))
	b.do(b.core.UnblockTurns(shard, b.now))
	assert.Assert(t, b.replies[waiting].Begin == nil, "two calls run at once")
	assert.Assert(t, b.end(endOf(running, start, "answer c3")).Kept)
	begun := b.replies[waiting].Begin.Start
	assert.Equal(t, begun.Turn, 4)
	assert.Equal(t, string(begun.History[5].Body), "answer c3")
}

// TestNextCallWaitsForCarriedReports lets a new home hear of two reports that
// the earlier home did not keep, before it hears the reports themselves.
func TestNextCallWaitsForCarriedReports(t *testing.T) {
	memory := store.NewMemory()
	a := newLab(t, "a", memory)
	a.open("p-1", testBudget, false)
	a.mode = storeAway
	carried := []EndRequest{a.turn("p-1", "c1"), a.turn("p-1", "c2")}

	b := newLab(t, "b", memory)
	for _, e := range carried {
		r := callOf("p-1", e.CallID)
		r.Deadline = b.now.Add(-time.Minute)
		b.do(b.core.Resume(Running{Begin: r, Turn: e.Turn, Previous: e.Previous}, b.now))
	}
	assert.Assert(t, b.begin(callOf("p-1", "c3")) == nil)
	waiting := b.ticket
	b.pass(time.Second)
	assert.Assert(t, b.end(carried[0]).Kept)
	assert.Assert(t, b.replies[waiting].Begin == nil, "started before the second report")
	assert.Assert(t, b.end(carried[1]).Kept)
	assert.Equal(t, b.replies[waiting].Begin.Start.Turn, 3)
}

func TestCarriedReportIsNotWaitedForWithoutEnd(t *testing.T) {
	l := newLab(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	end := l.turn("p-1", "c1")
	l.do(l.core.Resume(Running{Begin: callOf("p-1", "c2"), Turn: 2, Previous: "of a lost turn"}, l.now))
	r := callOf("p-1", "c2")
	l.do(l.core.Resume(Running{Begin: r, Turn: 2, Previous: newTurn(&end).digest}, l.now))
	assert.Assert(t, l.begin(callOf("p-1", "c3")) == nil)
	l.pass(l.core.options.DefaultCallTimeout + l.core.options.ReportGracePeriod)
	assert.Equal(t, l.start(callOf("p-1", "c3")).Turn, 2)
}

func TestCarriedTurnIsForgottenAfterItsDeadline(t *testing.T) {
	memory := store.NewMemory()
	a := newLab(t, "a", memory)
	a.open("p-1", testBudget, false)
	a.mode = storeAway
	first := a.turn("p-1", "c1")
	b := newLab(t, "b", memory)
	r := callOf("p-1", "c2")
	b.do(b.core.Resume(Running{Begin: r, Turn: 2, Previous: newTurn(&first).digest}, b.now))
	b.pass(b.core.options.DefaultCallTimeout + b.core.options.ReportGracePeriod)
	assert.Assert(t, b.end(first).Kept)
	assert.Equal(t, b.start(callOf("p-1", "c3")).Turn, 2)
}

func TestHomeLearnsOfLaterTurns(t *testing.T) {
	cases := []struct {
		name string
		do   func(a, b *lab)
	}{
		{"from an expected turn", func(a, _ *lab) {
			r := callOf("p-1", "c2")
			r.ExpectedTurn = 2
			assert.Equal(a.t, a.start(r).Turn, 2)
		}},
		{"from a report", func(a, b *lab) {
			r := callOf("p-1", "c2")
			assert.Assert(a.t, a.end(endOf(r, b.start(r), "answer")).Kept)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			memory := store.NewMemory()
			a, b := newLab(t, "a", memory), newLab(t, "b", memory)
			a.core.options.ChunksPerBudget, b.core.options.ChunksPerBudget = 8, 8
			a.open("p-1", largeBudget, false)
			b.turn("p-1", "c1")
			c.do(a, b)
		})
	}
}

func TestDeadRelayGivesItsTurnBack(t *testing.T) {
	l := newLab(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	l.start(callOf("p-1", "c1"))
	next := callOf("p-1", "c2")
	next.Relay = "other"
	assert.Assert(t, l.begin(next) == nil)
	l.do(l.core.DropRelay("relay", l.now))
	assert.Equal(t, l.replies[l.ticket].Begin.Start.Turn, 1)
}

func TestDeadRelayGivesItsPlacesBack(t *testing.T) {
	l := newLab(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	l.start(callOf("p-1", "c1"))
	assert.Assert(t, l.begin(callOf("p-1", "c2")) == nil)
	waiting := l.ticket
	next := callOf("p-1", "c3")
	next.Relay = "other"
	assert.Assert(t, l.begin(next) == nil)
	l.do(l.core.DropRelay("relay", l.now))
	assert.Equal(t, l.replies[l.ticket].Begin.Start.Turn, 1)
	assert.Equal(t, l.replies[waiting].Begin.Refusal.Reason, ReasonMoved)
}

func TestHungCallGivesItsTurnBackAfterItsDeadline(t *testing.T) {
	l := newLab(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	hung := callOf("p-1", "c1")
	hung.Deadline = l.now.Add(time.Second)
	l.start(hung)
	assert.Assert(t, l.begin(callOf("p-1", "c2")) == nil)
	l.pass(time.Second + l.core.options.ReportGracePeriod)
	assert.Equal(t, l.replies[l.ticket].Begin.Start.Turn, 1)
}

func TestQueueKeepsItsOrderOverWaits(t *testing.T) {
	l := newLab(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	running := callOf("p-1", "c1")
	start := l.start(running)
	l.begin(callOf("p-1", "c2"))
	second := l.ticket
	l.begin(callOf("p-1", "c3"))
	third := l.ticket
	l.pass(l.core.options.LongPollTimeout)
	assert.Equal(t, l.replies[second].Begin.Wait.Position, 0)
	assert.Equal(t, l.replies[third].Begin.Wait.Position, 1)
	assert.Assert(t, l.begin(callOf("p-1", "c3")) == nil)
	third = l.ticket
	l.end(endOf(running, start, "answer"))
	assert.Assert(t, l.replies[third].Begin == nil, "the third went before the second")
	assert.Equal(t, l.start(callOf("p-1", "c2")).Turn, 2)
}

func TestEnginesAreReleased(t *testing.T) {
	cases := []struct {
		name string
		do   func(l *lab)
	}{
		{"at the end", func(l *lab) {
			l.do(l.core.CloseProgram(90, CloseRequest{Program: "p-1", Team: "team"}, l.now))
			assert.Assert(l.t, l.replies[90].Close.Kept)
		}},
		{"after a long pause", func(l *lab) { l.pass(l.core.options.IdleTimeout) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLab(t, "a", store.NewMemory())
			l.open("p-1", testBudget, false)
			l.turn("p-1", "c1")
			l.core.MarkCached("p-1", "engine-2")
			c.do(l)
			assert.DeepEqual(t, l.releases, []Release{{Program: "p-1", Engines: []string{"engine-1", "engine-2"}}})
			ended, known := l.core.HasEnded("p-1", l.now)
			assert.Assert(t, ended && known)
			l.pass(l.core.options.IdleTimeout + l.core.options.EvictDelay)
			_, known = l.core.HasEnded("p-1", l.now)
			assert.Assert(t, !known, "still in memory")
		})
	}
}

// TestAbandonedProgramOfADeadHomeIsReleased asks a new home, as an engine's
// controller does, about a program that no call comes for.
func TestAbandonedProgramOfADeadHomeIsReleased(t *testing.T) {
	memory := store.NewMemory()
	a := newLab(t, "a", memory)
	a.open("p-1", testBudget, false)
	a.turn("p-1", "c1")
	b := newLab(t, "b", memory)
	b.do(b.core.Watch("p-1", b.now))
	ended, known := b.core.HasEnded("p-1", b.now)
	assert.Assert(t, known && !ended)
	b.pass(b.core.options.IdleTimeout)
	assert.DeepEqual(t, b.releases, []Release{{Program: "p-1", Engines: []string{"engine-1"}}})
	ended, _ = b.core.HasEnded("p-1", b.now)
	assert.Assert(t, ended)
}

func TestWithdrawnCallGivesItsPlaceBack(t *testing.T) {
	l := newLab(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	l.start(callOf("p-1", "c1"))
	for _, id := range []string{"c2", "c3"} {
		assert.Assert(t, l.begin(callOf("p-1", id)) == nil)
	}
	third := l.ticket
	for _, id := range []string{"c2", "c1"} {
		r := callOf("p-1", id)
		end := EndRequest{Program: "p-1", Team: "team", CallID: id, Attempt: r.Attempt, Outcome: OutcomeCancelled}
		assert.Assert(t, l.end(end).Kept)
	}
	assert.Equal(t, l.replies[third-1].Begin.Refusal.Reason, ReasonCancelled)
	assert.Equal(t, l.replies[third].Begin.Start.Turn, 1)
	assert.Equal(t, l.end(EndRequest{Program: "p-1", Team: "team", Outcome: OutcomeCompleted}).Refusal.Reason, ReasonInvalid)
}

func TestDumpShowsWhatWaits(t *testing.T) {
	l := newLab(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	l.open("p-2", testBudget, false)
	l.mode = storeAway
	l.turn("p-1", "c1")
	l.start(callOf("p-1", "c2"))
	l.begin(callOf("p-1", "c3"))
	l.core.BlockTurns(7)
	d := l.core.Dump("p-1", 5)
	assert.Equal(t, len(d.Programs), 1)
	assert.DeepEqual(t, d.Programs[0].Agents, []AgentDump{{
		Program: "p-1", Turns: 1, Uncommitted: 1, Queued: 1, RunningCall: "c2", Relay: "relay", Engines: []string{"engine-1"},
	}})
	assert.DeepEqual(t, d.BlockedShards, []int{7})
	d.Programs, d.BlockedShards, d.Stats = nil, nil, Stats{}
	assert.DeepEqual(t, *d, Dump{Families: 2, Running: 1, Queued: 1, Uncommitted: 1})
}

func TestReportAfterTheEndReleasesItsEngine(t *testing.T) {
	l := newLab(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	r := callOf("p-1", "c1")
	start := l.start(r)
	l.do(l.core.CloseProgram(90, CloseRequest{Program: "p-1", Team: "team"}, l.now))
	assert.Assert(t, l.end(endOf(r, start, "answer")).Kept)
	assert.Equal(t, len(l.releases), 1)
	assert.Equal(t, l.begin(callOf("p-1", "c2")).Refusal.Reason, ReasonEnded)
}

func TestTimeBudget(t *testing.T) {
	cases := []struct {
		name  string
		skew  time.Duration // of the second home's wall clock
		spent time.Duration // at the first home
		want  Reason
	}{
		{"time is left", 0, 500 * time.Second, ""},
		{"time is over", 0, 600 * time.Second, ReasonBudgetSeconds},
		{"a slow clock gives nothing back", -time.Hour, 600 * time.Second, ReasonBudgetSeconds},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			memory := store.NewMemory()
			a := newLab(t, "a", memory)
			a.open("p-1", testBudget, false)
			r := callOf("p-1", "c1")
			r.Deadline = a.now.Add(time.Hour)
			start := a.start(r)
			a.now = a.now.Add(c.spent)
			a.end(endOf(r, start, "answer"))
			b := newLab(t, "b", memory)
			b.now = a.now.Add(c.skew)
			reply := b.begin(callOf("p-1", "c2"))
			if c.want == "" {
				assert.Equal(t, reply.Start.TimeLeft, 100*time.Second)
				return
			}
			assert.Equal(t, reply.Refusal.Reason, c.want)
		})
	}
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		change func(*BeginRequest)
		want   Reason
	}{
		{"another team", func(r *BeginRequest) { r.Team = "other" }, ReasonUnknownProgram},
		{"no such program", func(r *BeginRequest) { r.Program = "p-2" }, ReasonUnknownProgram},
		{"no such sub-agent", func(r *BeginRequest) { r.Program = "p-1.7" }, ReasonUnknownProgram},
		{"bad id", func(r *BeginRequest) { r.Program = "p-1/../p-2" }, ReasonInvalid},
		{"call id used", func(r *BeginRequest) { r.CallID, r.Digest = "c1", "other" }, ReasonConflict},
		{"another turn", func(r *BeginRequest) { r.ExpectedTurn = 3 }, ReasonTurn},
		{"deadline past", func(r *BeginRequest) { r.Deadline = time.Unix(1, 0) }, ReasonDeadline},
		{"too many tokens", func(r *BeginRequest) { r.EstimatedTokens = 100_000 }, ReasonBudgetTokens},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLab(t, "a", store.NewMemory())
			l.open("p-1", testBudget, false)
			l.turn("p-1", "c1")
			r := callOf("p-1", "c2")
			c.change(&r)
			reply := l.begin(r)
			assert.Assert(t, reply != nil && reply.Refusal != nil, "%+v", reply)
			assert.Equal(t, reply.Refusal.Reason, c.want)
			assert.Equal(t, reply.Refusal.RunState, NotRun)
		})
	}
}

func TestDamagedHistoryIsRefused(t *testing.T) {
	cases := []struct {
		name  string
		spoil func(l *lab)
	}{
		{"a turn is missing", func(l *lab) { l.spoil(TurnKey("p-1", 1), nil) }},
		{"turns are swapped", func(l *lab) {
			row, _ := l.memory.Get(TurnKey("p-1", 2))
			l.spoil(TurnKey("p-1", 1), row.Value)
		}},
		{"the first turn is changed", func(l *lab) { l.forge(1) }},
		{"the last turn is changed", func(l *lab) { l.forge(2) }},
		{"another program's turn", func(l *lab) {
			row, _ := l.memory.Get(TurnKey("p-2", 1))
			l.spoil(TurnKey("p-1", 1), row.Value)
		}},
		{"no JSON", func(l *lab) { l.spoil(FamilyKey("p-1"), []byte("{")) }},
		{"an object is changed", func(l *lab) {
			for name := range l.objects {
				l.objects[name] = []byte("{}")
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLab(t, "a", store.NewMemory())
			for _, p := range []string{"p-1", "p-2"} {
				l.open(p, testBudget, false)
				l.turn(p, "c1")
				r := callOf(p, "c2")
				end := endOf(r, l.start(r), string(make([]byte, maxInlineBytes)))
				assert.Assert(t, l.end(end).Kept)
			}
			assert.Equal(t, len(l.objects), 2)
			next := newLab(t, "b", l.memory)
			next.objects = l.objects
			assert.Equal(t, next.start(callOf("p-1", "c3")).Turn, 3)

			c.spoil(l)
			next = newLab(t, "b", l.memory)
			next.objects = l.objects
			assert.Equal(t, next.begin(callOf("p-1", "c3")).Refusal.Reason, ReasonDamaged)
			assert.Equal(t, next.core.Stats().Damaged, int64(1))
		})
	}
}

// forge changes a turn's row to another that can be read.
func (l *lab) forge(number int) {
	row, _ := l.memory.Get(TurnKey("p-1", number))
	turn, err := DecodeTurn(row.Value)
	assert.NilError(l.t, err)
	turn.AnswerTokens++
	l.spoil(row.Key, mustEncode(turn))
}

// spoil changes a row behind the homes' backs.
func (l *lab) spoil(key string, value []byte) {
	l.memory.Commit(store.Txn{Writes: []store.Write{{Key: key, Value: value, Delete: value == nil}}})
}
