package trial

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/caller"
	"github.com/buckthorntide/buckthorntide/group"
)

const (
	// retryPause is the pause before a caller sends a call again.
	retryPause = 20 * time.Millisecond
	// tryTimeout is how long a caller waits before it tries another instance.
	tryTimeout = 5 * time.Second
)

type (
	// load is a number of callers that talk at the same time. Each sends a
	// call again, at another instance and with the same idempotency key, until
	// it has the whole answer.
	load struct {
		c     *cluster
		key   string
		turns atomic.Int64
		// refusals counts answers other than whole ones.
		refusals atomic.Int64
		failure  atomic.Pointer[string]
		group    *group.Group
	}
)

// talk starts callers that run programs of the given number of turns.
func (c *cluster) talk(key string, callers, turns int) *load {
	l := &load{c: c, key: key, group: group.NewGroup(c.t.Context())}
	for n := range callers {
		l.group.Go(func(ctx context.Context) {
			if err := l.program(ctx, n, turns); err != nil {
				text := err.Error()
				l.failure.Store(&text)
			}
		})
	}
	return l
}

// wait waits for every caller and fails the test where one did not get all of
// its answers.
func (l *load) wait() {
	l.c.t.Helper()
	l.group.Wait()
	if failure := l.failure.Load(); failure != nil {
		l.c.logDumps()
		l.c.t.Fatalf("a caller failed: %s", *failure)
	}
}

// awaitTurns waits until the callers have completed that many turns.
func (l *load) awaitTurns(turns int64) {
	l.c.t.Helper()
	l.c.eventually(fmt.Sprintf("%d turns", turns), func() error {
		if done := l.turns.Load(); done < turns && l.failure.Load() == nil {
			return fmt.Errorf("%d done", done)
		}
		return nil
	})
}

func (l *load) program(ctx context.Context, n, turns int) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	talk := &conversation{}
	err := l.insist(ctx, n, func(ctx context.Context, client *caller.Client) error {
		program, err := client.OpenProgram(ctx, "")
		talk.program = program
		return err
	})
	for turn := 0; turn < turns && err == nil; turn++ {
		callID := uuid.NewString()
		err = l.insist(ctx, n+turn, func(ctx context.Context, client *caller.Client) error {
			_, err := talk.say(ctx, client, callID, fmt.Sprintf("turn %d", turn))
			return err
		})
		l.turns.Add(1)
	}
	return err
}

// insist calls f with one instance's client after another until it returns
// nil. An answer on the wrong history is final.
func (l *load) insist(ctx context.Context, n int, f func(context.Context, *caller.Client) error) error {
	for ; ; n++ {
		client := l.c.client(n, l.key)
		tryCtx, cancel := context.WithTimeout(ctx, tryTimeout)
		err := f(tryCtx, client)
		cancel()
		client.Close()
		if err == nil || isMixed(err) {
			return err
		}
		l.refusals.Add(1)
		select {
		case <-ctx.Done():
			return fmt.Errorf("not in time: %w", err)
		case <-time.After(retryPause):
		}
	}
}

// reserve sends a reservation until it has an answer or is told that it can't
// be known whether it ran. It returns whether an instance ever said anything
// but notRun.
func (l *load) reserve(ctx context.Context, n int, callID string) (mayHaveRun bool) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for ; ; n++ {
		client := l.c.client(n, l.key)
		tryCtx, cancelTry := context.WithTimeout(ctx, tryTimeout)
		_, err := client.Do(tryCtx, reservation("", callID))
		cancelTry()
		client.Close()
		if err == nil {
			return true
		}
		state := runState(err)
		if state != "notRun" {
			mayHaveRun = true
		}
		if state == "unknown" && isFinal(err) {
			return true
		}
		select {
		case <-ctx.Done():
			return mayHaveRun
		case <-time.After(retryPause):
		}
	}
}

// assertRuns checks that no reservation ran twice and that none ran of which
// every refusal said that it had not.
func (c *cluster) assertRuns(t *testing.T, mayHaveRun map[string]bool) {
	t.Helper()
	assert.Equal(t, c.booking.Stats().DoubleRuns, int64(0))
	for callID, may := range mayHaveRun {
		if !may {
			assert.Equal(t, c.booking.Runs(callID), int64(0), "%s ran, but every refusal said notRun", callID)
		}
	}
}
