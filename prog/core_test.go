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
	a, b := newTestHome(t, "a", memory), newTestHome(t, "b", memory)
	a.mode = storeUnreachable
	assert.Assert(t, a.open("p-1", testBudget, false) == nil, "answered before the bound")
	a.advance(time.Second)
	assert.Assert(t, !a.replies[1].Open.Kept)

	assert.Assert(t, b.open("p-1", testBudget, true).Kept)
	ranAtB := b.spendUntilRefused("p-1", "b")
	ranAtA := a.spendUntilRefused("p-1", "a")
	assert.Equal(t, ranAtA, 4)
	assert.Equal(t, ranAtB, 4)
}

func TestBudgetHoldsOverHomesThatDie(t *testing.T) {
	memory := store.NewMemory()
	newTestHome(t, "first", memory).open("p-1", testBudget, false)
	total := 0
	for i := range 5 {
		l := newTestHome(t, fmt.Sprint("home", i), memory)
		r := newCall("p-1", fmt.Sprint("call", i))
		if reply := l.begin(r); reply.Start != nil {
			total++
		}
		l.mode = storeUnreachable
		total += l.spendUntilRefused("p-1", fmt.Sprint("more", i))
	}
	assert.Assert(t, total > 0 && total <= int(testBudget.Calls), "%d calls", total)
}

func TestTakeoverReservesNoSecondChunk(t *testing.T) {
	memory := store.NewMemory()
	first := newTestHome(t, "first", memory)
	first.core.options.ChunksPerBudget = 8
	first.open("p-1", largeBudget, false)
	for i := range 5 {
		l := newTestHome(t, fmt.Sprint("home", i), memory)
		l.core.options.ChunksPerBudget = 8
		l.start(newCall("p-1", fmt.Sprint("call", i)))
	}
	row, _ := memory.Get(FamilyKey("p-1"))
	f, err := DecodeFamily(row.Value)
	assert.NilError(t, err)
	assert.Equal(t, f.Reserved.Calls, int64(10+5))
}

func TestPlannedMoveLosesNoBudget(t *testing.T) {
	memory := store.NewMemory()
	first := newTestHome(t, "first", memory)
	first.open("p-1", testBudget, false)
	first.perform(first.core.Unload(ShardOf("p-1"), first.now))
	total := 0
	for i := range 20 {
		l := newTestHome(t, fmt.Sprint("home", i), memory)
		r := newCall("p-1", fmt.Sprint("call", i))
		if reply := l.begin(r); reply.Start != nil {
			total++
			l.end(newReport(r, reply.Start, "answer"))
		}
		l.perform(l.core.Unload(ShardOf("p-1"), l.now))
		assert.Equal(t, l.core.Remaining(ShardOf("p-1")), 0)
	}
	assert.Equal(t, total, int(testBudget.Calls))
}

func TestReturnedReservationIsNotSpent(t *testing.T) {
	l := newTestHome(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	l.turn("p-1", "c1")
	l.advance(l.core.options.IdleTimeout)
	l.mode = storeDelayed
	l.advance(l.core.options.EvictDelay)
	assert.Equal(t, len(l.delayedCommits), 1, "no commit gives the reservation back")
	assert.Assert(t, l.begin(newCall("p-1", "c2")) == nil, "spends what it is giving back")
	l.applyDelayed()
	assert.Assert(t, l.replies[l.ticket].Begin.Start != nil)
}

func TestCallBeyondLimitIsRefusedWhileStoreIsUnreachable(t *testing.T) {
	l := newTestHome(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	l.mode = storeUnreachable
	assert.Equal(t, l.spendUntilRefused("p-1", "below the mark"), 4)
	l.advance(l.core.options.DefaultCallTimeout)
	refusal := l.replies[l.ticket].Begin.Refusal
	assert.DeepEqual(t, *refusal, Refusal{Reason: ReasonStore, RunState: NotRun, Retryable: true})
	l.mode = storeUp
	l.advance(l.core.options.RetryInterval)
	assert.Equal(t, l.spendUntilRefused("p-1", "beyond it"), 4)
}

func TestLostCommitAnswerCostsNoBudget(t *testing.T) {
	l := newTestHome(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	l.mode = storeAnswersLost
	end := l.turn("p-1", "c1")
	assert.Assert(t, l.end(end).Kept)
	l.mode = storeUp
	assert.Equal(t, l.spendUntilRefused("p-1", "more"), int(testBudget.Calls)-1)
}

// conflicted returns two homes of one program: the second has written, the
// first runs a call and does not know yet.
func newConflictingHomes(t *testing.T) (a, b *testHome, r BeginRequest, start *Start) {
	memory := store.NewMemory()
	a, b = newTestHome(t, "a", memory), newTestHome(t, "b", memory)
	a.core.options.ChunksPerBudget, b.core.options.ChunksPerBudget = 8, 8
	a.open("p-1", largeBudget, false)
	r = newCall("p-1", "slow")
	start = a.start(r)
	b.turn("p-1", "fast")
	return a, b, r, start
}

func TestHomeReloadsAfterConflict(t *testing.T) {
	a, _, r, start := newConflictingHomes(t)
	lost := a.end(newReport(r, start, "too late"))
	assert.Assert(t, lost.Superseded)
	assert.Equal(t, string(lost.Stored.Answer.Body), "answer fast")
	next := a.start(newCall("p-1", "next"))
	assert.Equal(t, next.Turn, 2)
	assert.Equal(t, string(next.History[1].Body), "answer fast")
}

func TestStaleHomeStartsNoCallBeforeReload(t *testing.T) {
	a, _, r, start := newConflictingHomes(t)
	a.mode = storeDelayed
	a.end(newReport(r, start, "too late"))
	c := a.delayedCommits[0]
	a.mode = storeUnreachable
	a.perform(a.core.Committed(c.Root, c.Txn.RequestID, 0, store.ErrConflict, a.now))
	assert.Assert(t, a.begin(newCall("p-1", "next")) == nil)
	a.mode = storeUp
	a.advance(a.core.options.RetryInterval)
	assert.Equal(t, a.replies[a.ticket].Begin.Start.Turn, 2)
}

func TestReservationStaysSpentAfterConflict(t *testing.T) {
	memory := store.NewMemory()
	a, b := newTestHome(t, "a", memory), newTestHome(t, "b", memory)
	a.open("p-1", testBudget, false)
	l := a.core.families.Get("p-1")
	r := newCall("p-1", "slow")
	start := a.start(r)
	b.begin(newCall("p-1", "other"))
	a.perform(a.core.CloseProgram(99, CloseRequest{Program: "p-1", Team: "team"}, a.now))
	before := l.ledger.Charged()
	end := newReport(r, start, "")
	end.Outcome = OutcomeFailed
	a.end(end)
	assert.Equal(t, l.ledger.Held, Usage{})
	assert.Equal(t, l.ledger.Charged(), before)
}

func TestReportWithOtherPreviousTurnIsSuperseded(t *testing.T) {
	memory := store.NewMemory()
	a, b := newTestHome(t, "a", memory), newTestHome(t, "b", memory)
	a.open("p-1", testBudget, false)
	a.turn("p-1", "c1")
	end := newReport(newCall("p-1", "c2"), &Start{Turn: 2, Previous: "of another turn"}, "strange")
	assert.Assert(t, b.end(end).Superseded)
}

func TestTurnIsKeptOnlyAfterCommit(t *testing.T) {
	l := newTestHome(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	l.mode = storeDelayed
	end := l.turn("p-1", "c1")
	waiting := l.ticket
	assert.Assert(t, l.replies[waiting].End == nil)
	l.advance(l.core.options.KeptBound)
	assert.DeepEqual(t, *l.replies[waiting].End, EndReply{})
	assert.Equal(t, l.start(newCall("p-1", "c2")).Turn, 2, "the program goes on in memory")
	l.applyDelayed()
	assert.Assert(t, l.end(end).Kept)
}

// TestRelaysCarryTurnsToTheNextHome lets a home die while the store is away.
func TestRelaysReportTurnsToNewHome(t *testing.T) {
	memory := store.NewMemory()
	a := newTestHome(t, "a", memory)
	a.open("p-1", testBudget, false)
	a.mode = storeUnreachable
	carried := []EndRequest{a.turn("p-1", "c1"), a.turn("p-1", "c2")}
	running := newCall("p-1", "c3")
	start := a.start(running)

	b := newTestHome(t, "b", memory)
	shard := ShardOf("p-1")
	b.core.BlockTurns(shard)
	next := newCall("p-1", "c4")
	assert.Assert(t, b.begin(next) == nil)
	waiting := b.ticket
	early := b.end(carried[1])
	assert.Equal(t, early.Refusal.Reason, ReasonTurn)
	assert.Assert(t, early.Refusal.Retryable)
	assert.Assert(t, b.end(carried[0]).Kept)
	assert.Assert(t, b.end(carried[1]).Kept)
	b.perform(b.core.Resume(Running{Begin: running, Turn: start.Turn, Previous: start.Previous}, b.now))
	b.perform(b.core.UnblockTurns(shard, b.now))
	assert.Assert(t, b.replies[waiting].Begin == nil, "two calls run at once")
	assert.Assert(t, b.end(newReport(running, start, "answer c3")).Kept)
	begun := b.replies[waiting].Begin.Start
	assert.Equal(t, begun.Turn, 4)
	assert.Equal(t, string(begun.History[5].Body), "answer c3")
}

// TestNextCallWaitsForCarriedReports lets a new home hear of two reports that
// the earlier home did not keep, before it hears the reports themselves.
func TestNextCallWaitsForPendingReports(t *testing.T) {
	memory := store.NewMemory()
	a := newTestHome(t, "a", memory)
	a.open("p-1", testBudget, false)
	a.mode = storeUnreachable
	carried := []EndRequest{a.turn("p-1", "c1"), a.turn("p-1", "c2")}

	b := newTestHome(t, "b", memory)
	for _, e := range carried {
		r := newCall("p-1", e.CallID)
		r.Deadline = b.now.Add(-time.Minute)
		b.perform(b.core.Resume(Running{Begin: r, Turn: e.Turn, Previous: e.Previous}, b.now))
	}
	assert.Assert(t, b.begin(newCall("p-1", "c3")) == nil)
	waiting := b.ticket
	b.advance(time.Second)
	assert.Assert(t, b.end(carried[0]).Kept)
	assert.Assert(t, b.replies[waiting].Begin == nil, "started before the second report")
	assert.Assert(t, b.end(carried[1]).Kept)
	assert.Equal(t, b.replies[waiting].Begin.Start.Turn, 3)
}

func TestPendingReportIsAwaitedUntilDeadline(t *testing.T) {
	l := newTestHome(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	end := l.turn("p-1", "c1")
	l.perform(l.core.Resume(Running{Begin: newCall("p-1", "c2"), Turn: 2, Previous: "of a lost turn"}, l.now))
	r := newCall("p-1", "c2")
	l.perform(l.core.Resume(Running{Begin: r, Turn: 2, Previous: newTurn(&end).digest}, l.now))
	assert.Assert(t, l.begin(newCall("p-1", "c3")) == nil)
	l.advance(l.core.options.DefaultCallTimeout + l.core.options.ReportGracePeriod)
	assert.Equal(t, l.start(newCall("p-1", "c3")).Turn, 2)
}

func TestRelayedTurnExpiresAfterDeadline(t *testing.T) {
	memory := store.NewMemory()
	a := newTestHome(t, "a", memory)
	a.open("p-1", testBudget, false)
	a.mode = storeUnreachable
	first := a.turn("p-1", "c1")
	b := newTestHome(t, "b", memory)
	r := newCall("p-1", "c2")
	b.perform(b.core.Resume(Running{Begin: r, Turn: 2, Previous: newTurn(&first).digest}, b.now))
	b.advance(b.core.options.DefaultCallTimeout + b.core.options.ReportGracePeriod)
	assert.Assert(t, b.end(first).Kept)
	assert.Equal(t, b.start(newCall("p-1", "c3")).Turn, 2)
}

func TestHomeReloadsForLaterTurns(t *testing.T) {
	cases := []struct {
		name string
		do   func(a, b *testHome)
	}{
		{"from an expected turn", func(a, _ *testHome) {
			r := newCall("p-1", "c2")
			r.ExpectedTurn = 2
			assert.Equal(a.t, a.start(r).Turn, 2)
		}},
		{"from a report", func(a, b *testHome) {
			r := newCall("p-1", "c2")
			assert.Assert(a.t, a.end(newReport(r, b.start(r), "answer")).Kept)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			memory := store.NewMemory()
			a, b := newTestHome(t, "a", memory), newTestHome(t, "b", memory)
			a.core.options.ChunksPerBudget, b.core.options.ChunksPerBudget = 8, 8
			a.open("p-1", largeBudget, false)
			b.turn("p-1", "c1")
			c.do(a, b)
		})
	}
}

func TestTurnIsFreedWhenRelayFails(t *testing.T) {
	l := newTestHome(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	l.start(newCall("p-1", "c1"))
	next := newCall("p-1", "c2")
	next.Relay = "other"
	assert.Assert(t, l.begin(next) == nil)
	l.perform(l.core.DropRelay("relay", l.now))
	assert.Equal(t, l.replies[l.ticket].Begin.Start.Turn, 1)
}

func TestDeadRelayGivesItsPlacesBack(t *testing.T) {
	l := newTestHome(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	l.start(newCall("p-1", "c1"))
	assert.Assert(t, l.begin(newCall("p-1", "c2")) == nil)
	waiting := l.ticket
	next := newCall("p-1", "c3")
	next.Relay = "other"
	assert.Assert(t, l.begin(next) == nil)
	l.perform(l.core.DropRelay("relay", l.now))
	assert.Equal(t, l.replies[l.ticket].Begin.Start.Turn, 1)
	assert.Equal(t, l.replies[waiting].Begin.Refusal.Reason, ReasonMoved)
}

func TestTurnOfHungCallIsFreedAfterDeadline(t *testing.T) {
	l := newTestHome(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	hung := newCall("p-1", "c1")
	hung.Deadline = l.now.Add(time.Second)
	l.start(hung)
	assert.Assert(t, l.begin(newCall("p-1", "c2")) == nil)
	l.advance(time.Second + l.core.options.ReportGracePeriod)
	assert.Equal(t, l.replies[l.ticket].Begin.Start.Turn, 1)
}

func TestQueueKeepsItsOrderOverWaits(t *testing.T) {
	l := newTestHome(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	running := newCall("p-1", "c1")
	start := l.start(running)
	l.begin(newCall("p-1", "c2"))
	second := l.ticket
	l.begin(newCall("p-1", "c3"))
	third := l.ticket
	l.advance(l.core.options.LongPollTimeout)
	assert.Equal(t, l.replies[second].Begin.Wait.Position, 0)
	assert.Equal(t, l.replies[third].Begin.Wait.Position, 1)
	assert.Assert(t, l.begin(newCall("p-1", "c3")) == nil)
	third = l.ticket
	l.end(newReport(running, start, "answer"))
	assert.Assert(t, l.replies[third].Begin == nil, "the third went before the second")
	assert.Equal(t, l.start(newCall("p-1", "c2")).Turn, 2)
}

func TestEnginesAreReleased(t *testing.T) {
	cases := []struct {
		name string
		do   func(l *testHome)
	}{
		{"at the end", func(l *testHome) {
			l.perform(l.core.CloseProgram(90, CloseRequest{Program: "p-1", Team: "team"}, l.now))
			assert.Assert(l.t, l.replies[90].Close.Kept)
		}},
		{"after a long pause", func(l *testHome) { l.advance(l.core.options.IdleTimeout) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newTestHome(t, "a", store.NewMemory())
			l.open("p-1", testBudget, false)
			l.turn("p-1", "c1")
			l.core.MarkCached("p-1", "engine-2")
			c.do(l)
			assert.DeepEqual(t, l.releases, []Release{{Program: "p-1", Engines: []string{"engine-1", "engine-2"}}})
			ended, known := l.core.HasEnded("p-1", l.now)
			assert.Assert(t, ended && known)
			l.advance(l.core.options.IdleTimeout + l.core.options.EvictDelay)
			_, known = l.core.HasEnded("p-1", l.now)
			assert.Assert(t, !known, "still in memory")
		})
	}
}

// TestAbandonedProgramOfADeadHomeIsReleased asks a new home, as an engine's
// controller does, about a program that no call comes for.
func TestCacheOfWatchedProgramIsReleased(t *testing.T) {
	memory := store.NewMemory()
	a := newTestHome(t, "a", memory)
	a.open("p-1", testBudget, false)
	a.turn("p-1", "c1")
	b := newTestHome(t, "b", memory)
	b.perform(b.core.Watch("p-1", b.now))
	ended, known := b.core.HasEnded("p-1", b.now)
	assert.Assert(t, known && !ended)
	b.advance(b.core.options.IdleTimeout)
	assert.DeepEqual(t, b.releases, []Release{{Program: "p-1", Engines: []string{"engine-1"}}})
	ended, _ = b.core.HasEnded("p-1", b.now)
	assert.Assert(t, ended)
}

func TestWithdrawnCallLeavesQueue(t *testing.T) {
	l := newTestHome(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	l.start(newCall("p-1", "c1"))
	for _, id := range []string{"c2", "c3"} {
		assert.Assert(t, l.begin(newCall("p-1", id)) == nil)
	}
	third := l.ticket
	for _, id := range []string{"c2", "c1"} {
		r := newCall("p-1", id)
		end := EndRequest{Program: "p-1", Team: "team", CallID: id, Attempt: r.Attempt, Outcome: OutcomeCancelled}
		assert.Assert(t, l.end(end).Kept)
	}
	assert.Equal(t, l.replies[third-1].Begin.Refusal.Reason, ReasonCancelled)
	assert.Equal(t, l.replies[third].Begin.Start.Turn, 1)
	assert.Equal(t, l.end(EndRequest{Program: "p-1", Team: "team", Outcome: OutcomeCompleted}).Refusal.Reason, ReasonInvalid)
}

func TestDumpShowsUncommittedAndQueuedCalls(t *testing.T) {
	l := newTestHome(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	l.open("p-2", testBudget, false)
	l.mode = storeUnreachable
	l.turn("p-1", "c1")
	l.start(newCall("p-1", "c2"))
	l.begin(newCall("p-1", "c3"))
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

func TestReportAfterCloseReleasesEngine(t *testing.T) {
	l := newTestHome(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	r := newCall("p-1", "c1")
	start := l.start(r)
	l.perform(l.core.CloseProgram(90, CloseRequest{Program: "p-1", Team: "team"}, l.now))
	assert.Assert(t, l.end(newReport(r, start, "answer")).Kept)
	assert.Equal(t, len(l.releases), 1)
	assert.Equal(t, l.begin(newCall("p-1", "c2")).Refusal.Reason, ReasonEnded)
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
			a := newTestHome(t, "a", memory)
			a.open("p-1", testBudget, false)
			r := newCall("p-1", "c1")
			r.Deadline = a.now.Add(time.Hour)
			start := a.start(r)
			a.now = a.now.Add(c.spent)
			a.end(newReport(r, start, "answer"))
			b := newTestHome(t, "b", memory)
			b.now = a.now.Add(c.skew)
			reply := b.begin(newCall("p-1", "c2"))
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
			l := newTestHome(t, "a", store.NewMemory())
			l.open("p-1", testBudget, false)
			l.turn("p-1", "c1")
			r := newCall("p-1", "c2")
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
		spoil func(l *testHome)
	}{
		{"a turn is missing", func(l *testHome) { l.overwriteRow(TurnKey("p-1", 1), nil) }},
		{"turns are swapped", func(l *testHome) {
			row, _ := l.memory.Get(TurnKey("p-1", 2))
			l.overwriteRow(TurnKey("p-1", 1), row.Value)
		}},
		{"the first turn is changed", func(l *testHome) { l.alterTurn(1) }},
		{"the last turn is changed", func(l *testHome) { l.alterTurn(2) }},
		{"another program's turn", func(l *testHome) {
			row, _ := l.memory.Get(TurnKey("p-2", 1))
			l.overwriteRow(TurnKey("p-1", 1), row.Value)
		}},
		{"no JSON", func(l *testHome) { l.overwriteRow(FamilyKey("p-1"), []byte("{")) }},
		{"an object is changed", func(l *testHome) {
			for name := range l.objects {
				l.objects[name] = []byte("{}")
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newTestHome(t, "a", store.NewMemory())
			for _, p := range []string{"p-1", "p-2"} {
				l.open(p, testBudget, false)
				l.turn(p, "c1")
				r := newCall(p, "c2")
				end := newReport(r, l.start(r), string(make([]byte, maxInlineBytes)))
				assert.Assert(t, l.end(end).Kept)
			}
			assert.Equal(t, len(l.objects), 2)
			next := newTestHome(t, "b", l.memory)
			next.objects = l.objects
			assert.Equal(t, next.start(newCall("p-1", "c3")).Turn, 3)

			c.spoil(l)
			next = newTestHome(t, "b", l.memory)
			next.objects = l.objects
			assert.Equal(t, next.begin(newCall("p-1", "c3")).Refusal.Reason, ReasonDamaged)
			assert.Equal(t, next.core.Stats().Damaged, int64(1))
		})
	}
}

// forge changes a turn's row to another that can be read.
func (l *testHome) alterTurn(number int) {
	row, _ := l.memory.Get(TurnKey("p-1", number))
	turn, err := DecodeTurn(row.Value)
	assert.NilError(l.t, err)
	turn.AnswerTokens++
	l.overwriteRow(row.Key, mustEncode(turn))
}

// spoil changes a row behind the homes' backs.
func (l *testHome) overwriteRow(key string, value []byte) {
	l.memory.Commit(store.Txn{Writes: []store.Write{{Key: key, Value: value, Delete: value == nil}}})
}
