package trial

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/caller"
	"github.com/buckthorntide/buckthorntide/stand"
)

const answerTokens = 12

var errMixed = errors.New("the answer does not rest on the program's history")

// conversation is a program as its caller knows it: every answer must rest on
// exactly these messages.
type conversation struct {
	program  string
	messages []stand.Message
}

func open(t *testing.T, client *caller.Client, parent string) *conversation {
	t.Helper()
	program, err := client.OpenProgram(t.Context(), parent)
	assert.NilError(t, err)
	return &conversation{program: program}
}

// say runs one turn and checks the answer.
func (c *conversation) say(ctx context.Context, client *caller.Client, callID, text string) (*caller.Reply, error) {
	reply, err := client.Complete(ctx, c.program, callID, caller.ChatRequest{
		Model:     model,
		Messages:  []caller.Message{{Role: "user", Content: text}},
		MaxTokens: answerTokens,
	})
	if err != nil {
		return nil, err
	}
	said := append(c.messages, stand.Message{Role: "user", Content: text})
	if want := stand.AnswerText(c.program, said, answerTokens); reply.Text != want {
		return nil, fmt.Errorf("%w: got %q, want %q", errMixed, reply.Text, want)
	}
	c.messages = append(said, stand.Message{Role: "assistant", Content: reply.Text})
	return reply, nil
}

// refused returns the refusal that the error is.
func refused(t *testing.T, err error) *caller.RefusedError {
	t.Helper()
	var r *caller.RefusedError
	assert.Assert(t, errors.As(err, &r), "not a refusal: %v", err)
	return r
}

func isMixed(err error) bool { return errors.Is(err, errMixed) }

// runState is what an error says of the call's run; a lost connection says
// nothing.
func runState(err error) string {
	var r *caller.RefusedError
	if errors.As(err, &r) {
		return r.RunState
	}
	return "unknown"
}

// isFinal tells a refusal that stays from one that a new sending may change.
func isFinal(err error) bool {
	var r *caller.RefusedError
	return errors.As(err, &r) && r.Code == "outcomeUnknown"
}
