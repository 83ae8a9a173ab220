package prog

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/store"
)

func newTestKeeper(t *testing.T, fake *store.Fake, instance string) *Keeper {
	t.Helper()
	k := NewKeeper(context.Background(), KeeperOptions{
		Core:      DefaultOptions(instance, "1"),
		Common:    common.NewCommon(hclog.NewNullLogger(), conf.DefaultSettings()),
		Table:     fake,
		Objects:   fake,
		Committer: fake,
		Random:    rand.New(rand.NewPCG(1, 2)),
	})
	t.Cleanup(k.Close)
	return k
}

func endOf(b BeginRequest, s *Start, answer string) EndRequest {
	return EndRequest{
		Program: b.Program, Team: b.Team, Turn: s.Turn, CallID: b.CallID, Attempt: b.Attempt,
		Relay: b.Relay, Kind: b.Kind, Digest: b.Digest, Previous: s.Previous,
		Outcome:      OutcomeCompleted,
		NewMessages:  []Message{{Role: "user", Body: []byte("ask " + b.CallID)}},
		Answer:       Message{Role: "assistant", Body: []byte(answer)},
		PromptTokens: 10, AnswerTokens: 5, Engine: "engine-1",
	}
}

func callOf(program, id string) BeginRequest {
	return BeginRequest{
		Program: program, Team: "team", CallID: id, Attempt: "1", Relay: "relay",
		Kind: KindModel, Digest: "digest of " + id, EstimatedTokens: 100,
	}
}

func TestKeeperTurnsSurviveTheHome(t *testing.T) {
	ctx := context.Background()
	fake := store.NewFake()
	k := newTestKeeper(t, fake, "a")
	root := k.NewRoot()
	opened, err := k.Open(ctx, OpenRequest{Program: root, Team: "team"})
	assert.NilError(t, err)
	assert.Assert(t, opened.Kept)

	for _, id := range []string{"c1", "c2"} {
		begun, err := k.Begin(ctx, callOf(root, id))
		assert.NilError(t, err)
		assert.Assert(t, begun.Start != nil, "%+v", begun)
		ended, err := k.End(ctx, endOf(callOf(root, id), begun.Start, "answer "+id))
		assert.NilError(t, err)
		assert.Assert(t, ended.Kept)
	}

	other := newTestKeeper(t, fake, "b")
	begun, err := other.Begin(ctx, callOf(root, "c3"))
	assert.NilError(t, err)
	assert.Equal(t, begun.Start.Turn, 3)
	assert.Equal(t, len(begun.Start.History), 4)
	assert.Equal(t, string(begun.Start.History[3].Body), "answer c2")
	replayed, err := other.Begin(ctx, callOf(root, "c1"))
	assert.NilError(t, err)
	assert.Equal(t, string(replayed.Replay.Answer.Body), "answer c1")
}
