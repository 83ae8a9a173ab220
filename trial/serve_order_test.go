package trial

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/caller"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/stand"
)

const (
	orderCallers = 8
	orderCalls   = 4
)

type (
	// crowd is a number of callers that call in one program at the same time.
	crowd struct {
		*load
		program string

		mu      sync.Mutex
		records []stand.EngineRunRecord
		turns   []taken
	}

	// taken is a turn that a caller has got; a plain call has no text.
	taken struct {
		turn int
		text string
	}
)

// TestOneProgramRunsInOrder sends model turns and reservations of one program
// through every instance at once. Each is one turn, there is no gap, and every
// model turn rests on the turns before it. Without a fault no two calls run at
// the same time; after a kill an upstream may still run what nobody waits for.
func TestOneProgramRunsInOrder(t *testing.T) {
	tests := []struct {
		name   string
		single bool
		fault  func(c *cluster, l *load)
	}{
		{"no fault", true, func(*cluster, *load) {}},
		{"an instance is killed", false, func(c *cluster, _ *load) { c.instances[1].kill() }},
		{"an instance freezes and wakes", false, func(c *cluster, l *load) {
			c.instances[1].freeze()
			l.awaitTurns(l.turns.Load() + 8)
			c.instances[1].thaw()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &crowd{}
			c := newCluster(t, options{instances: 3, engines: 2, engine: stand.EngineConfig{Observe: w.observe}})
			c.booking.SetFaults(stand.ServiceFaults{Delay: conf.Duration(10 * time.Millisecond)})
			w.start(c, c.issueKey("fes").Key)
			w.awaitTurns(4)
			tt.fault(c, w.load)
			w.wait()
			w.assertOrder(t)
			assert.Equal(t, c.booking.Stats().DoubleRuns, int64(0))
			if tt.single {
				assert.Equal(t, len(w.turns), orderCallers*orderCalls)
				assert.Equal(t, c.booking.Stats().MaxInFlight, int64(1))
			}
		})
	}
}

// observe is told of every run at an engine.
func (w *crowd) observe(r stand.EngineRunRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.Messages = slices.Clone(r.Messages)
	w.records = append(w.records, r)
}

func (w *crowd) start(c *cluster, key string) {
	w.load = &load{c: c, key: key, group: group.NewGroup(c.t.Context())}
	client := c.client(0, key)
	defer client.Close()
	w.program = c.openProgram(client, "")
	for n := range orderCallers {
		w.group.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, patience)
			defer cancel()
			for i := range orderCalls {
				w.note(w.call(ctx, n+i, (n+i)%2 == 0))
			}
		})
	}
}

func (w *crowd) call(ctx context.Context, n int, plain bool) error {
	callID := uuid.NewString()
	return w.insist(ctx, n, func(ctx context.Context, client *caller.Client) error {
		got, err := w.once(ctx, client, callID, plain)
		if err != nil {
			if isFinal(err) {
				return nil
			}
			return err
		}
		w.mu.Lock()
		w.turns = append(w.turns, got)
		w.mu.Unlock()
		w.load.turns.Add(1)
		return nil
	})
}

func (w *crowd) once(ctx context.Context, client *caller.Client, callID string, plain bool) (taken, error) {
	if plain {
		answer, err := client.Do(ctx, reservation(w.program, callID))
		if err != nil {
			return taken{}, err
		}
		if answer.Status != http.StatusOK {
			return taken{}, fmt.Errorf("status %d", answer.Status)
		}
		turn, err := strconv.Atoi(answer.Header.Get("Program-Turn"))
		return taken{turn: turn}, err
	}
	reply, err := client.Complete(ctx, w.program, callID, caller.ChatRequest{
		Model:     model,
		Messages:  []caller.Message{{Role: "user", Content: callID}},
		MaxTokens: answerTokens,
	})
	if err != nil {
		return taken{}, err
	}
	turn, err := strconv.Atoi(reply.Turn)
	return taken{turn: turn, text: reply.Text}, err
}

// assertOrder checks that the turns are 1, 2 and so on, and that each model
// turn's history begins with that of the model turn before.
func (w *crowd) assertOrder(t *testing.T) {
	t.Helper()
	slices.SortFunc(w.turns, func(a, b taken) int { return a.turn - b.turn })
	before := []stand.Message{}
	for i, got := range w.turns {
		assert.Equal(t, got.turn, i+1, "turns and model answers: %v", w.turns)
		if got.text == "" {
			continue
		}
		messages, ok := w.messagesOf(got.text)
		assert.Assert(t, ok, "turn %d: no engine ran what was answered: %q", got.turn, got.text)
		assert.Assert(t, len(messages) > len(before), "turn %d", got.turn)
		assert.DeepEqual(t, messages[:len(before)], before)
		before = messages
	}
}

// messagesOf returns what an engine was asked when it gave the answer.
func (w *crowd) messagesOf(text string) ([]stand.Message, bool) {
	for _, r := range w.records {
		if stand.AnswerText(w.program, r.Messages, answerTokens) == text {
			return r.Messages, true
		}
	}
	return nil, false
}
