package trial

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/caller"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/stand"
)

const budgetCalls = 6

// looper is a number of callers that loop in one program and its sub-agent
// until the budget ends them.
type looper struct {
	*load
	programs []string

	mu        sync.Mutex
	completed int64
	reasons   map[string]int
}

// TestBudgetHolds lets callers loop without end through every instance while
// faults come. What a home reserved and lost counts as spent, so that faults
// may only lower the number of completed calls.
func TestBudgetHolds(t *testing.T) {
	tests := []struct {
		name  string
		exact bool
		fault func(c *cluster, l *load)
	}{
		{"no fault", true, func(*cluster, *load) {}},
		{"an instance is killed", false, func(c *cluster, _ *load) { c.instances[1].kill() }},
		{"an instance freezes and wakes while answers get lost", false, func(c *cluster, l *load) {
			c.platform.SetFaults(stand.PlatformFaults{LoseProbability: 0.3})
			c.instances[1].freeze()
			l.awaitTurns(3)
			c.instances[1].thaw()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, options{instances: 3, engines: 2})
			c.setBudget(conf.Budget{Calls: budgetCalls})
			l := c.loop(c.issueKey("fes").Key)
			l.awaitTurns(1)
			tt.fault(c, l.load)
			l.wait()
			assert.Assert(t, l.completed <= budgetCalls, "%d calls completed", l.completed)
			if tt.exact {
				assert.Equal(t, l.completed, int64(budgetCalls))
				assert.Equal(t, c.engineRuns(), int64(budgetCalls))
			}
			assert.DeepEqual(t, keysOf(l.reasons), []string{"budgetCalls"})
		})
	}
}

// TestTimeBudgetEndsALoop lets a loop run until its seconds are over.
func TestTimeBudgetEndsALoop(t *testing.T) {
	c := newCluster(t, options{instances: 2, engines: 1})
	c.setBudget(conf.Budget{Seconds: 2})
	l := c.loop(c.issueKey("fes").Key)
	l.wait()
	assert.Assert(t, l.completed > 0)
	for reason := range l.reasons {
		assert.Assert(t, reason == "budgetSeconds" || reason == "deadline", reason)
	}
	c.awaitEmptyCaches()
}

func (c *cluster) setBudget(b conf.Budget) {
	text := c.text
	text.Teams[0].Budget = b
	c.apply(text)
	c.awaitRevision(c.instances, c.revision)
}

// loop opens a program with a sub-agent and starts the callers.
func (c *cluster) loop(key string) *looper {
	l := &looper{
		load:    &load{c: c, key: key, group: group.NewGroup(c.t.Context())},
		reasons: make(map[string]int),
	}
	client := c.client(0, key)
	defer client.Close()
	root := c.openProgram(client, "")
	l.programs = []string{root, c.openProgram(client, root)}
	for n := range 6 {
		l.group.Go(func(ctx context.Context) { l.note(l.run(ctx, n)) })
	}
	return l
}

// run sends calls until one is refused for good.
func (l *looper) run(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for i := 0; ; i++ {
		callID, program := uuid.NewString(), l.programs[(n+i)%len(l.programs)]
		over := false
		err := l.insist(ctx, n+i, func(ctx context.Context, client *caller.Client) error {
			_, err := client.Complete(ctx, program, callID, caller.ChatRequest{
				Model:     model,
				Messages:  []caller.Message{{Role: "user", Content: fmt.Sprintf("again %d", i)}},
				MaxTokens: answerTokens,
			})
			over = l.take(err)
			if over {
				return nil
			}
			return err
		})
		if err != nil || over {
			return err
		}
	}
}

// take counts how a sending ended and reports whether the budget is over.
func (l *looper) take(err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.completed++
		l.turns.Add(1)
		return false
	}
	var r *caller.RefusedError
	if !errors.As(err, &r) {
		return false
	}
	switch r.Code {
	case "budgetCalls", "budgetTokens", "budgetSeconds", "ended", "deadline":
		l.reasons[r.Code]++
		l.turns.Add(1)
		return true
	default:
		return false
	}
}

func keysOf(m map[string]int) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	return out
}
