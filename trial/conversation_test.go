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

// conversation is a program as its caller knows it: every answer must rest on
// exactly these messages.
type conversation struct {
	program  string
	messages []stand.Message
}

func open(t *testing.T, client *caller.Client, parent string) *conversation {
	t.Helper()
	program, err := client.Open(t.Context(), parent)
	assert.NilError(t, err)
	return &conversation{program: program}
}

// say runs one turn and checks the answer.
func (c *conversation) say(ctx context.Context, client *caller.Client, callID, text string) (*caller.Reply, error) {
	reply, err := client.Complete(ctx, c.program, callID, caller.Chat{
		Model:     model,
		Messages:  []caller.Message{{Role: "user", Content: text}},
		MaxTokens: answerTokens,
	})
	if err != nil {
		return nil, err
	}
	said := append(c.messages, stand.Message{Role: "user", Content: text})
	if want := stand.AnswerText(c.program, said, answerTokens); reply.Text != want {
		return nil, fmt.Errorf("got %q, want %q", reply.Text, want)
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
