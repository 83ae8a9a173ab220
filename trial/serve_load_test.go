package trial

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"github.com/buckthorntide/buckthorntide/caller"
	"github.com/buckthorntide/buckthorntide/stand"
)

// note keeps a caller's failure for wait.
func (l *load) note(err error) {
	if err != nil {
		text := err.Error()
		l.failure.Store(&text)
	}
}

// single sends one call that belongs to no program until it has the whole
// answer. Its program's name is not known to the caller, so that only the
// answer's length can be checked.
func (l *load) single(ctx context.Context, n int, text string) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	callID := uuid.NewString()
	want := len(stand.Answer("", nil, answerTokens))
	return l.insist(ctx, n, func(ctx context.Context, client *caller.Client) error {
		reply, err := client.Complete(ctx, "", callID, caller.ChatRequest{
			Model:     model,
			Messages:  []caller.Message{{Role: "user", Content: text}},
			MaxTokens: answerTokens,
		})
		if err != nil {
			return err
		}
		if got := reply.Chunks; got < want {
			return fmt.Errorf("%d of %d chunks", got, want)
		}
		l.turns.Add(1)
		return nil
	})
}
