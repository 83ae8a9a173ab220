package prog

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/store"
)

// TestHistoryCountsInTheReservation reserves for the whole prompt, of which
// the asker knows only the new messages.
func TestHistoryCountsInTheReservation(t *testing.T) {
	l := newTestHome(t, "a", store.NewMemory())
	budget := testBudget
	budget.Tokens = 1000
	l.open("p-1", budget, false)
	end := newReport(newCall("p-1", "c1"), l.start(newCall("p-1", "c1")), "answer")
	end.PromptTokens, end.AnswerTokens = 300, 100
	assert.Assert(t, l.end(end).Kept)

	r := newCall("p-1", "c2")
	r.EstimatedTokens, r.MinimumTokens, r.WithHistory = 150, 50, true
	start := l.start(r)
	assert.Equal(t, start.HistoryTokens, int64(400))
	assert.Equal(t, start.ReservedTokens, int64(550))
	end = newReport(r, start, "answer")
	end.PromptTokens, end.AnswerTokens = 420, 130
	assert.Assert(t, l.end(end).Kept)

	// 50 of 1000 tokens are left; the history alone makes 550.
	r = newCall("p-1", "c3")
	r.EstimatedTokens, r.MinimumTokens, r.WithHistory = 20, 10, true
	assert.Equal(t, l.begin(r).Refusal.Reason, ReasonBudgetTokens)
}

// TestNothingWaitsForAStoreThatIsAway answers at the next tick.
func TestNothingWaitsForUnreachableStore(t *testing.T) {
	l := newTestHome(t, "a", store.NewMemory())
	l.open("p-1", testBudget, false)
	l.mode = storeDelayed
	l.core.SetStoreUnreachable(true)
	l.turn("p-1", "c1")
	waiting := l.ticket
	l.advance(0)
	assert.DeepEqual(t, *l.replies[waiting].End, EndReply{})
	l.applyDelayed()
}
