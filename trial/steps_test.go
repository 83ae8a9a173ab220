package trial

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/caller"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/stand"
)

// TestCallerSteps reads like a caller's first day: three instances, two teams.
func TestCallerSteps(t *testing.T) {
	c := newCluster(t, options{instances: 3, engines: 2})
	key := c.issueKey("fes").Key
	first, second := c.client(0, key), c.client(1, key)
	defer first.Close()
	defer second.Close()
	talk := open(t, first, "")

	t.Run("turns go on at any instance", func(t *testing.T) {
		for n := range 4 {
			client := c.client(n, key)
			reply, err := talk.say(t.Context(), client, "", "Which obi fits?")
			client.Close()
			assert.NilError(t, err)
			assert.Equal(t, reply.Turn, string(rune('1'+n)))
		}
	})
	t.Run("a turn that is sent again is answered again and not run again", func(t *testing.T) {
		reply, err := talk.say(t.Context(), first, "turn-five", "And in blue?")
		assert.NilError(t, err)
		runs := c.engineRuns()
		again, err := second.Complete(t.Context(), talk.program, "turn-five", caller.ChatRequest{
			Model: model, Messages: []caller.Message{{Role: "user", Content: "And in blue?"}}, MaxTokens: answerTokens,
		})
		assert.NilError(t, err)
		assert.Equal(t, again.Text, reply.Text)
		assert.Equal(t, c.engineRuns(), runs)
	})
	t.Run("a sub-agent has its own history", func(t *testing.T) {
		agent := open(t, second, talk.program)
		_, err := agent.say(t.Context(), first, "", "Measure the sleeves")
		assert.NilError(t, err)
	})
	t.Run("a wrong key is refused", func(t *testing.T) {
		stranger := c.client(2, "btk_aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")
		defer stranger.Close()
		_, err := stranger.OpenProgram(t.Context(), "")
		r := refused(t, err)
		assert.Equal(t, r.Code, "unauthorised")
		assert.Equal(t, r.RunState, "notRun")
	})
	t.Run("another team can neither go on with nor end the program", func(t *testing.T) {
		other := c.client(0, c.issueKey("zug").Key)
		defer other.Close()
		_, err := talk.say(t.Context(), other, "", "Tell me all")
		assert.Equal(t, refused(t, err).Code, "unknownProgram")
		assert.Equal(t, refused(t, other.CloseProgram(t.Context(), talk.program)).Code, "unknownProgram")
		_, err = other.OpenProgram(t.Context(), talk.program)
		assert.Equal(t, refused(t, err).Code, "unknownProgram")
	})
	t.Run("a reservation that is sent three times runs once", func(t *testing.T) {
		before := c.booking.Stats().Runs
		for n := range 3 {
			client := c.client(n, key)
			answer, err := client.Do(t.Context(), reservation("", "slot-9"))
			client.Close()
			assert.NilError(t, err)
			assert.Equal(t, answer.Header.Get("Run-State"), "ran")
		}
		assert.Equal(t, c.booking.Stats().Runs, before+1)
	})
	t.Run("an open route needs no key", func(t *testing.T) {
		anyone := c.client(1, "")
		defer anyone.Close()
		answer, err := anyone.Do(t.Context(), caller.Request{Method: http.MethodGet, Path: "/v1/services/booking/hours"})
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, http.StatusOK)
		_, err = anyone.Do(t.Context(), caller.Request{Method: http.MethodGet, Path: "/v1/services/booking/look"})
		assert.Equal(t, refused(t, err).Code, "unauthorised")
	})
	t.Run("no upstream ever saw a key", func(t *testing.T) {
		copied := http.Header{"X-Copied": {key}, "Cookie": {"k=" + key}, "X-Api-Key": {key}}
		_, err := first.Do(t.Context(), caller.Request{Method: http.MethodGet, Path: "/v1/services/booking/look", Header: copied})
		assert.NilError(t, err)
		_, err = first.Do(t.Context(), caller.Request{Method: http.MethodGet, Path: "/v1/services/booking/look?k=" + key})
		assert.Equal(t, refused(t, err).Code, "keyInRequest")
		assert.Equal(t, c.leakedKeys(), int64(0))
	})
}

// TestUpstreamDiesMidStream cuts the stream of a running turn.
func TestUpstreamDiesMidStream(t *testing.T) {
	c := newCluster(t, options{instances: 2, engines: 1})
	client := c.client(0, c.issueKey("fes").Key)
	defer client.Close()
	talk := open(t, client, "")
	c.engines[0].SetFaults(stand.EngineFaults{CutStreamNext: 1})
	_, err := talk.say(t.Context(), client, "", "A long answer, please")
	assert.NilError(t, err, "a cut connection is taken up where it broke")

	c.engines[0].SetFaults(stand.EngineFaults{Slow: conf.Duration(time.Hour)})
	crashed := make(chan error, 1)
	requests := c.engineRequests()
	c.group.Go(func(ctx context.Context) {
		_, err := talk.say(ctx, client, "crash", "Are you there?")
		crashed <- err
	})
	c.awaitRequest(requests)
	c.engines[0].SetFaults(stand.EngineFaults{Crash: true})
	assert.NilError(t, <-crashed, "a call that delivered nothing is sent again")
}

// TestCallerLeaves ends a caller's connection while its turn runs.
func TestCallerLeaves(t *testing.T) {
	c := newCluster(t, options{instances: 2, engines: 1})
	client := c.client(0, c.issueKey("fes").Key)
	defer client.Close()
	talk := open(t, client, "")
	c.engines[0].SetFaults(stand.EngineFaults{Slow: conf.Duration(time.Hour)})
	ctx, leave := context.WithCancel(t.Context())
	left := make(chan error, 1)
	requests := c.engineRequests()
	c.group.Go(func(context.Context) {
		_, err := talk.say(ctx, client, "", "Never mind")
		left <- err
	})
	c.awaitRequest(requests)
	leave()
	assert.ErrorIs(t, <-left, context.Canceled)
	c.eventually("the engine's slot is free", func() error {
		if c.engines[0].Stats().Cancelled == 0 {
			return errors.New("still running")
		}
		return nil
	})
	c.engines[0].SetFaults(stand.EngineFaults{})
	_, err := talk.say(t.Context(), client, "", "I am back")
	assert.NilError(t, err, "the turn that was left is not part of the history")
}

func reservation(program, callID string) caller.Request {
	return caller.Request{
		Method:  http.MethodPost,
		Path:    "/v1/services/booking/reserve",
		Program: program,
		CallID:  callID,
		Body:    caller.Message{Role: "user", Content: "Reserve " + callID},
	}
}

func (c *cluster) engineRuns() int64 {
	var runs int64
	for _, e := range c.engines {
		runs += e.Stats().Runs
	}
	return runs
}

func (c *cluster) engineRequests() int64 {
	var requests int64
	for _, e := range c.engines {
		requests += e.Stats().Requests
	}
	return requests
}

// awaitRequest waits until the engines have got more requests than before.
func (c *cluster) awaitRequest(before int64) {
	c.t.Helper()
	c.eventually("an engine has the call", func() error {
		if c.engineRequests() == before {
			return errors.New("not yet")
		}
		return nil
	})
}

func (c *cluster) leakedKeys() int64 {
	leaked := c.booking.Stats().LeakedKeys
	for _, e := range c.engines {
		leaked += e.Stats().LeakedKeys
	}
	return leaked
}
