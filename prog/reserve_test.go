package prog

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/store"
)

// TestHistoryCountsInTheReservation guards against a reservation that covers
// the new messages only: the prompt also has the history, whose size the caller
// doesn't know.
func TestHistoryCountsInTheReservation(t *testing.T) {
	h := newTestHome(t, "a", store.NewMemory())
	budget := testBudget
	budget.Tokens = 1000
	h.open("p-1", budget, false)
	end := newReport(newCall("p-1", "c1"), h.start(newCall("p-1", "c1")), "answer")
	end.PromptTokens, end.AnswerTokens = 300, 100
	assert.Assert(t, h.end(end).Kept)

	r := newCall("p-1", "c2")
	r.EstimatedTokens, r.MinimumTokens, r.WithHistory = 150, 50, true
	start := h.start(r)
	assert.Equal(t, start.HistoryTokens, int64(400))
	assert.Equal(t, start.ReservedTokens, int64(550))
	end = newReport(r, start, "answer")
	end.PromptTokens, end.AnswerTokens = 420, 130
	assert.Assert(t, h.end(end).Kept)

	// 50 of 1000 tokens are left; the history alone takes 550.
	r = newCall("p-1", "c3")
	r.EstimatedTokens, r.MinimumTokens, r.WithHistory = 20, 10, true
	assert.Equal(t, h.begin(r).Refusal.Reason, ReasonBudgetTokens)
}

// TestNothingWaitsForUnreachableStore guards against requests that wait for the
// commit timeout while the store is known to be unreachable: they must be
// answered at the next tick.
func TestNothingWaitsForUnreachableStore(t *testing.T) {
	h := newTestHome(t, "a", store.NewMemory())
	h.open("p-1", testBudget, false)
	h.mode = storeDelayed
	h.core.SetStoreUnreachable(true)
	h.turn("p-1", "c1")
	waiting := h.ticket
	h.advance(0)
	assert.DeepEqual(t, *h.replies[waiting].End, EndReply{})
	h.applyDelayed()
}
