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

func TestBudgetHoldsWhenTwoHomesOpenProgram(t *testing.T) {
	memory := store.NewMemory()
	a, b := newTestHome(t, "a", memory), newTestHome(t, "b", memory)
	a.mode = storeUnreachable
	assert.Assert(t, a.open("p-1", testBudget, false) == nil, "answered before the commit timeout")
	a.advance(time.Second)
	assert.Assert(t, !a.replies[1].Open.Kept)

	assert.Assert(t, b.open("p-1", testBudget, true).Kept)
	ranAtB := b.spendUntilRefused("p-1", "b")
	ranAtA := a.spendUntilRefused("p-1", "a")
	assert.Equal(t, ranAtA, 4)
	assert.Equal(t, ranAtB, 4)
}

func TestBudgetHoldsAcrossFailedHomes(t *testing.T) {
	memory := store.NewMemory()
	newTestHome(t, "first", memory).open("p-1", testBudget, false)
	total := 0
	for i := range 5 {
		h := newTestHome(t, fmt.Sprint("home", i), memory)
		r := newCall("p-1", fmt.Sprint("call", i))
		if reply := h.begin(r); reply.Start != nil {
			total++
		}
		h.mode = storeUnreachable
		total += h.spendUntilRefused("p-1", fmt.Sprint("more", i))
	}
	assert.Assert(t, total > 0 && total <= int(testBudget.Calls), "%d calls", total)
}

func TestTakeoverReservesNoSecondChunk(t *testing.T) {
	memory := store.NewMemory()
	first := newTestHome(t, "first", memory)
	first.core.options.ChunksPerBudget = 8
	first.open("p-1", largeBudget, false)
	for i := range 5 {
		h := newTestHome(t, fmt.Sprint("home", i), memory)
		h.core.options.ChunksPerBudget = 8
		h.start(newCall("p-1", fmt.Sprint("call", i)))
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
		h := newTestHome(t, fmt.Sprint("home", i), memory)
		r := newCall("p-1", fmt.Sprint("call", i))
		if reply := h.begin(r); reply.Start != nil {
			total++
			h.end(newReport(r, reply.Start, "answer"))
		}
		h.perform(h.core.Unload(ShardOf("p-1"), h.now))
		assert.Equal(t, h.core.Remaining(ShardOf("p-1")), 0)
	}
	assert.Equal(t, total, int(testBudget.Calls))
}

func TestReturnedReservationIsNotSpent(t *testing.T) {
	h := newTestHome(t, "a", store.NewMemory())
	h.open("p-1", testBudget, false)
	h.turn("p-1", "c1")
	h.advance(h.core.options.IdleTimeout)
	h.mode = storeDelayed
	h.advance(h.core.options.EvictDelay)
	assert.Equal(t, len(h.delayedCommits), 1, "no commit returns the reservation")
	assert.Assert(t, h.begin(newCall("p-1", "c2")) == nil, "spends a reservation that is being returned")
	h.applyDelayed()
	assert.Assert(t, h.replies[h.ticket].Begin.Start != nil)
}

func TestCallBeyondLimitIsRefusedWhileStoreIsUnreachable(t *testing.T) {
	h := newTestHome(t, "a", store.NewMemory())
	h.open("p-1", testBudget, false)
	h.mode = storeUnreachable
	assert.Equal(t, h.spendUntilRefused("p-1", "below the limit"), 4)
	h.advance(h.core.options.DefaultCallTimeout)
	refusal := h.replies[h.ticket].Begin.Refusal
	assert.DeepEqual(t, *refusal, Refusal{Reason: ReasonStore, RunState: NotRun, Retryable: true})
	h.mode = storeUp
	h.advance(h.core.options.RetryInterval)
	assert.Equal(t, h.spendUntilRefused("p-1", "beyond the limit"), 4)
}

func TestLostCommitAnswerCostsNoBudget(t *testing.T) {
	h := newTestHome(t, "a", store.NewMemory())
	h.open("p-1", testBudget, false)
	h.mode = storeAnswersLost
	end := h.turn("p-1", "c1")
	assert.Assert(t, h.end(end).Kept)
	h.mode = storeUp
	assert.Equal(t, h.spendUntilRefused("p-1", "more"), int(testBudget.Calls)-1)
}

// newConflictingHomes returns two homes of one program: b has committed a turn
// while a runs a call and doesn't know of that commit.
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
	f := a.core.families.Get("p-1")
	r := newCall("p-1", "slow")
	start := a.start(r)
	b.begin(newCall("p-1", "other"))
	a.perform(a.core.CloseProgram(99, CloseRequest{Program: "p-1", Team: "team"}, a.now))
	before := f.ledger.Charged()
	end := newReport(r, start, "")
	end.Outcome = OutcomeFailed
	a.end(end)
	assert.Equal(t, f.ledger.Held, Usage{})
	assert.Equal(t, f.ledger.Charged(), before)
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
	h := newTestHome(t, "a", store.NewMemory())
	h.open("p-1", testBudget, false)
	h.mode = storeDelayed
	end := h.turn("p-1", "c1")
	waiting := h.ticket
	assert.Assert(t, h.replies[waiting].End == nil)
	h.advance(h.core.options.CommitTimeout)
	assert.DeepEqual(t, *h.replies[waiting].End, EndReply{})
	assert.Equal(t, h.start(newCall("p-1", "c2")).Turn, 2, "the program continues in memory")
	h.applyDelayed()
	assert.Assert(t, h.end(end).Kept)
}

// TestRelaysReportTurnsToNewHome guards against lost turns when a home fails
// while the store is unreachable: the relay instances hold two reports and a
// running call, which the new home must take before it starts another call.
func TestRelaysReportTurnsToNewHome(t *testing.T) {
	memory := store.NewMemory()
	a := newTestHome(t, "a", memory)
	a.open("p-1", testBudget, false)
	a.mode = storeUnreachable
	reports := []EndRequest{a.turn("p-1", "c1"), a.turn("p-1", "c2")}
	running := newCall("p-1", "c3")
	start := a.start(running)

	b := newTestHome(t, "b", memory)
	shard := ShardOf("p-1")
	b.core.BlockTurns(shard)
	next := newCall("p-1", "c4")
	assert.Assert(t, b.begin(next) == nil)
	waiting := b.ticket
	early := b.end(reports[1])
	assert.Equal(t, early.Refusal.Reason, ReasonTurn)
	assert.Assert(t, early.Refusal.Retryable)
	assert.Assert(t, b.end(reports[0]).Kept)
	assert.Assert(t, b.end(reports[1]).Kept)
	b.perform(b.core.Resume(RelayedTurn{Begin: running, Turn: start.Turn, Previous: start.Previous}, b.now))
	b.perform(b.core.UnblockTurns(shard, b.now))
	assert.Assert(t, b.replies[waiting].Begin == nil, "two calls run at once")
	assert.Assert(t, b.end(newReport(running, start, "answer c3")).Kept)
	begun := b.replies[waiting].Begin.Start
	assert.Equal(t, begun.Turn, 4)
	assert.Equal(t, string(begun.History[5].Body), "answer c3")
}

// TestNextCallWaitsForPendingReports guards against a call that takes the turn
// of a completed one: the new home learns of two reports that the earlier home
// did not commit, before it receives the reports themselves.
func TestNextCallWaitsForPendingReports(t *testing.T) {
	memory := store.NewMemory()
	a := newTestHome(t, "a", memory)
	a.open("p-1", testBudget, false)
	a.mode = storeUnreachable
	reports := []EndRequest{a.turn("p-1", "c1"), a.turn("p-1", "c2")}

	b := newTestHome(t, "b", memory)
	for _, e := range reports {
		r := newCall("p-1", e.CallID)
		r.Deadline = b.now.Add(-time.Minute)
		b.perform(b.core.Resume(RelayedTurn{Begin: r, Turn: e.Turn, Previous: e.Previous}, b.now))
	}
	assert.Assert(t, b.begin(newCall("p-1", "c3")) == nil)
	waiting := b.ticket
	b.advance(time.Second)
	assert.Assert(t, b.end(reports[0]).Kept)
	assert.Assert(t, b.replies[waiting].Begin == nil, "started before the second report")
	assert.Assert(t, b.end(reports[1]).Kept)
	assert.Equal(t, b.replies[waiting].Begin.Start.Turn, 3)
}

func TestPendingReportIsAwaitedUntilDeadline(t *testing.T) {
	h := newTestHome(t, "a", store.NewMemory())
	h.open("p-1", testBudget, false)
	end := h.turn("p-1", "c1")
	h.perform(h.core.Resume(RelayedTurn{Begin: newCall("p-1", "c2"), Turn: 2, Previous: "of a lost turn"}, h.now))
	r := newCall("p-1", "c2")
	h.perform(h.core.Resume(RelayedTurn{Begin: r, Turn: 2, Previous: newTurn(&end).digest}, h.now))
	assert.Assert(t, h.begin(newCall("p-1", "c3")) == nil)
	h.advance(h.core.options.DefaultCallTimeout + h.core.options.ReportGracePeriod)
	assert.Equal(t, h.start(newCall("p-1", "c3")).Turn, 2)
}

func TestRelayedTurnExpiresAfterDeadline(t *testing.T) {
	memory := store.NewMemory()
	a := newTestHome(t, "a", memory)
	a.open("p-1", testBudget, false)
	a.mode = storeUnreachable
	first := a.turn("p-1", "c1")
	b := newTestHome(t, "b", memory)
	r := newCall("p-1", "c2")
	b.perform(b.core.Resume(RelayedTurn{Begin: r, Turn: 2, Previous: newTurn(&first).digest}, b.now))
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
	h := newTestHome(t, "a", store.NewMemory())
	h.open("p-1", testBudget, false)
	h.start(newCall("p-1", "c1"))
	next := newCall("p-1", "c2")
	next.Relay = "other"
	assert.Assert(t, h.begin(next) == nil)
	h.perform(h.core.DropRelay("relay", h.now))
	assert.Equal(t, h.replies[h.ticket].Begin.Start.Turn, 1)
}

func TestQueuePlacesAreFreedWhenRelayFails(t *testing.T) {
	h := newTestHome(t, "a", store.NewMemory())
	h.open("p-1", testBudget, false)
	h.start(newCall("p-1", "c1"))
	assert.Assert(t, h.begin(newCall("p-1", "c2")) == nil)
	waiting := h.ticket
	next := newCall("p-1", "c3")
	next.Relay = "other"
	assert.Assert(t, h.begin(next) == nil)
	h.perform(h.core.DropRelay("relay", h.now))
	assert.Equal(t, h.replies[h.ticket].Begin.Start.Turn, 1)
	assert.Equal(t, h.replies[waiting].Begin.Refusal.Reason, ReasonMoved)
}

func TestTurnOfHungCallIsFreedAfterDeadline(t *testing.T) {
	h := newTestHome(t, "a", store.NewMemory())
	h.open("p-1", testBudget, false)
	hung := newCall("p-1", "c1")
	hung.Deadline = h.now.Add(time.Second)
	h.start(hung)
	assert.Assert(t, h.begin(newCall("p-1", "c2")) == nil)
	h.advance(time.Second + h.core.options.ReportGracePeriod)
	assert.Equal(t, h.replies[h.ticket].Begin.Start.Turn, 1)
}

func TestQueueKeepsOrderAcrossLongPolls(t *testing.T) {
	h := newTestHome(t, "a", store.NewMemory())
	h.open("p-1", testBudget, false)
	running := newCall("p-1", "c1")
	start := h.start(running)
	h.begin(newCall("p-1", "c2"))
	second := h.ticket
	h.begin(newCall("p-1", "c3"))
	third := h.ticket
	h.advance(h.core.options.LongPollTimeout)
	assert.Equal(t, h.replies[second].Begin.Wait.Position, 0)
	assert.Equal(t, h.replies[third].Begin.Wait.Position, 1)
	assert.Assert(t, h.begin(newCall("p-1", "c3")) == nil)
	third = h.ticket
	h.end(newReport(running, start, "answer"))
	assert.Assert(t, h.replies[third].Begin == nil, "the third call started before the second")
	assert.Equal(t, h.start(newCall("p-1", "c2")).Turn, 2)
}

func TestEnginesAreReleased(t *testing.T) {
	cases := []struct {
		name string
		do   func(h *testHome)
	}{
		{"after the close", func(h *testHome) {
			h.perform(h.core.CloseProgram(90, CloseRequest{Program: "p-1", Team: "team"}, h.now))
			assert.Assert(h.t, h.replies[90].Close.Kept)
		}},
		{"after the idle timeout", func(h *testHome) { h.advance(h.core.options.IdleTimeout) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHome(t, "a", store.NewMemory())
			h.open("p-1", testBudget, false)
			h.turn("p-1", "c1")
			h.core.MarkCached("p-1", "engine-2")
			c.do(h)
			assert.DeepEqual(t, h.releases, []Release{{Program: "p-1", Engines: []string{"engine-1", "engine-2"}}})
			ended, known := h.core.HasEnded("p-1", h.now)
			assert.Assert(t, ended && known)
			h.advance(h.core.options.IdleTimeout + h.core.options.EvictDelay)
			_, known = h.core.HasEnded("p-1", h.now)
			assert.Assert(t, !known, "still in memory")
		})
	}
}

// TestCacheOfWatchedProgramIsReleased guards against a cache that is never
// released: the home failed, no further call arrives, and an engine's
// controller asks the new home about the program.
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
	h := newTestHome(t, "a", store.NewMemory())
	h.open("p-1", testBudget, false)
	h.start(newCall("p-1", "c1"))
	for _, id := range []string{"c2", "c3"} {
		assert.Assert(t, h.begin(newCall("p-1", id)) == nil)
	}
	third := h.ticket
	for _, id := range []string{"c2", "c1"} {
		r := newCall("p-1", id)
		end := EndRequest{Program: "p-1", Team: "team", CallID: id, Attempt: r.Attempt, Outcome: OutcomeCancelled}
		assert.Assert(t, h.end(end).Kept)
	}
	assert.Equal(t, h.replies[third-1].Begin.Refusal.Reason, ReasonCancelled)
	assert.Equal(t, h.replies[third].Begin.Start.Turn, 1)
	assert.Equal(t, h.end(EndRequest{Program: "p-1", Team: "team", Outcome: OutcomeCompleted}).Refusal.Reason, ReasonInvalid)
}

func TestDumpShowsUncommittedAndQueuedCalls(t *testing.T) {
	h := newTestHome(t, "a", store.NewMemory())
	h.open("p-1", testBudget, false)
	h.open("p-2", testBudget, false)
	h.mode = storeUnreachable
	h.turn("p-1", "c1")
	h.start(newCall("p-1", "c2"))
	h.begin(newCall("p-1", "c3"))
	h.core.BlockTurns(7)
	d := h.core.Dump("p-1", 5)
	assert.Equal(t, len(d.Programs), 1)
	assert.DeepEqual(t, d.Programs[0].Agents, []AgentDump{{
		Program: "p-1", Turns: 1, Uncommitted: 1, Queued: 1, RunningCall: "c2", Relay: "relay", Engines: []string{"engine-1"},
	}})
	assert.DeepEqual(t, d.BlockedShards, []int{7})
	d.Programs, d.BlockedShards, d.Stats = nil, nil, Stats{}
	assert.DeepEqual(t, *d, Dump{Families: 2, Running: 1, Queued: 1, Uncommitted: 1})
}

func TestReportAfterCloseReleasesEngine(t *testing.T) {
	h := newTestHome(t, "a", store.NewMemory())
	h.open("p-1", testBudget, false)
	r := newCall("p-1", "c1")
	start := h.start(r)
	h.perform(h.core.CloseProgram(90, CloseRequest{Program: "p-1", Team: "team"}, h.now))
	assert.Assert(t, h.end(newReport(r, start, "answer")).Kept)
	assert.Equal(t, len(h.releases), 1)
	assert.Equal(t, h.begin(newCall("p-1", "c2")).Refusal.Reason, ReasonEnded)
}

func TestTimeBudget(t *testing.T) {
	cases := []struct {
		name  string
		skew  time.Duration // of the second home's wall clock
		spent time.Duration // at the first home
		want  Reason
	}{
		{"time is left", 0, 500 * time.Second, ""},
		{"time is exhausted", 0, 600 * time.Second, ReasonBudgetSeconds},
		{"a slow clock doesn't extend the time", -time.Hour, 600 * time.Second, ReasonBudgetSeconds},
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
		{"malformed id", func(r *BeginRequest) { r.Program = "p-1/../p-2" }, ReasonInvalid},
		{"call id used with another request", func(r *BeginRequest) { r.CallID, r.Digest = "c1", "other" }, ReasonConflict},
		{"unexpected turn", func(r *BeginRequest) { r.ExpectedTurn = 3 }, ReasonTurn},
		{"deadline has passed", func(r *BeginRequest) { r.Deadline = time.Unix(1, 0) }, ReasonDeadline},
		{"too many tokens", func(r *BeginRequest) { r.EstimatedTokens = 100_000 }, ReasonBudgetTokens},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHome(t, "a", store.NewMemory())
			h.open("p-1", testBudget, false)
			h.turn("p-1", "c1")
			r := newCall("p-1", "c2")
			c.change(&r)
			reply := h.begin(r)
			assert.Assert(t, reply != nil && reply.Refusal != nil, "%+v", reply)
			assert.Equal(t, reply.Refusal.Reason, c.want)
			assert.Equal(t, reply.Refusal.RunState, NotRun)
		})
	}
}

func TestDamagedHistoryIsRefused(t *testing.T) {
	cases := []struct {
		name  string
		spoil func(h *testHome)
	}{
		{"a turn is missing", func(h *testHome) { h.overwriteRow(TurnKey("p-1", 1), nil) }},
		{"turns are swapped", func(h *testHome) {
			row, _ := h.memory.Get(TurnKey("p-1", 2))
			h.overwriteRow(TurnKey("p-1", 1), row.Value)
		}},
		{"the first turn is changed", func(h *testHome) { h.alterTurn(1) }},
		{"the last turn is changed", func(h *testHome) { h.alterTurn(2) }},
		{"another program's turn", func(h *testHome) {
			row, _ := h.memory.Get(TurnKey("p-2", 1))
			h.overwriteRow(TurnKey("p-1", 1), row.Value)
		}},
		{"malformed JSON", func(h *testHome) { h.overwriteRow(FamilyKey("p-1"), []byte("{")) }},
		{"an object is changed", func(h *testHome) {
			for name := range h.objects {
				h.objects[name] = []byte("{}")
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHome(t, "a", store.NewMemory())
			for _, p := range []string{"p-1", "p-2"} {
				h.open(p, testBudget, false)
				h.turn(p, "c1")
				r := newCall(p, "c2")
				end := newReport(r, h.start(r), string(make([]byte, maxInlineBytes)))
				assert.Assert(t, h.end(end).Kept)
			}
			assert.Equal(t, len(h.objects), 2)
			next := newTestHome(t, "b", h.memory)
			next.objects = h.objects
			assert.Equal(t, next.start(newCall("p-1", "c3")).Turn, 3)

			c.spoil(h)
			next = newTestHome(t, "b", h.memory)
			next.objects = h.objects
			assert.Equal(t, next.begin(newCall("p-1", "c3")).Refusal.Reason, ReasonDamaged)
			assert.Equal(t, next.core.Stats().Damaged, int64(1))
		})
	}
}

// alterTurn replaces a turn's row by a different one that is well-formed.
func (h *testHome) alterTurn(number int) {
	row, _ := h.memory.Get(TurnKey("p-1", number))
	turn, err := DecodeTurn(row.Value)
	assert.NilError(h.t, err)
	turn.AnswerTokens++
	h.overwriteRow(row.Key, mustEncode(turn))
}

// overwriteRow changes a row without a home's knowledge.
func (h *testHome) overwriteRow(key string, value []byte) {
	h.memory.Commit(store.Txn{Writes: []store.Write{{Key: key, Value: value, Delete: value == nil}}})
}
