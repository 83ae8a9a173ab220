package trial

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/conf"
)

// TestTokenBudgetHolds counts at the engine what the loop used.
func TestTokenBudgetHolds(t *testing.T) {
	const tokens = 200
	c := newCluster(t, options{instances: 2, engines: 1})
	c.setBudget(conf.Budget{Tokens: tokens})
	l := c.loop(c.issueKey("fes").Key)
	l.wait()
	assert.DeepEqual(t, keysOf(l.reasons), []string{"budgetTokens"})
	stats := c.engines[0].Stats()
	used := stats.PromptTokens + answerTokens*stats.Completed
	assert.Assert(t, used <= tokens, "%d of %d tokens in %d calls", used, tokens, stats.Completed)
}
