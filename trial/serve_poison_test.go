package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/caller"
	"github.com/buckthorntide/buckthorntide/route"
	"github.com/buckthorntide/buckthorntide/stand"
)

const (
	poisonText = "a request that no engine survives"
	// poisonBound is how many engines one request may crash.
	poisonBound = 2
)

// TestPoisonIsStopped sends a request that crashes each engine that runs it,
// again and again, while others talk. It is refused after two engines, also by
// a later controller, and the others get all of their answers.
func TestPoisonIsStopped(t *testing.T) {
	c := newCluster(t, options{instances: 4, engines: 4, engine: stand.EngineConfig{Poison: poisonText}})
	l := c.talk(c.issueKey("fes").Key, 6, 16)
	l.awaitTurns(12)
	for range 3 {
		l.poison(t, "")
	}
	crashed := c.poisonings()
	assert.Assert(t, crashed > 0 && crashed <= poisonBound, "%d engines crashed", crashed)
	c.awaitSuspects()
	c.controller("fitting").kill()
	for range 3 {
		l.poison(t, uuid.NewString())
	}
	l.wait()
	assert.Assert(t, c.poisonings() <= poisonBound, "%d engines crashed", c.poisonings())
}

// poison sends the request at every instance in turn until it is refused for
// what it does.
func (l *load) poison(t *testing.T, callID string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	err := l.insist(ctx, 0, func(ctx context.Context, client *caller.Client) error {
		_, err := client.Complete(ctx, "", callID, caller.ChatRequest{
			Model:     model,
			Messages:  []caller.Message{{Role: "user", Content: poisonText}},
			MaxTokens: answerTokens,
		})
		var r *caller.RefusedError
		if errors.As(err, &r) && r.Code == "poison" {
			return nil
		}
		if err == nil {
			return errors.New("it ran")
		}
		return err
	})
	assert.NilError(t, err)
}

func (c *cluster) poisonings() int64 {
	var poisonings int64
	for _, e := range c.engines {
		poisonings += e.Stats().Poisonings
	}
	return poisonings
}

// awaitSuspects waits until the platform keeps that the request is convicted:
// the controller writes it a moment after it has refused the request.
func (c *cluster) awaitSuspects() {
	c.t.Helper()
	c.eventually("the suspects are kept", func() error {
		var kept struct{ Suspects []route.Suspect }
		for _, row := range c.platform.Rows("suspect/fitting") {
			assert.NilError(c.t, json.Unmarshal(row.Value, &kept))
		}
		for _, s := range kept.Suspects {
			unproved := func(k route.Strike) bool { return !k.Confirmed }
			if len(s.Strikes) >= poisonBound && !slices.ContainsFunc(s.Strikes, unproved) {
				return nil
			}
		}
		return fmt.Errorf("%d suspects", len(kept.Suspects))
	})
}
