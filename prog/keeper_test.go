package prog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/store"
)

const maxAttempts = 200_000

func newTestDriver(t *testing.T, fake *store.Fake, instance string) *Keeper {
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

func TestCancelledCallerHoldsNoTurn(t *testing.T) {
	ctx := context.Background()
	k := newTestDriver(t, store.NewFake(), "a")
	_, err := k.Open(ctx, OpenRequest{Program: "p-1", Team: "team"})
	assert.NilError(t, err)
	left, cancel := context.WithCancel(ctx)
	cancel()
	for i := range 20 { // the reply and the end of the context race
		_, err = k.Begin(left, newCall("p-1", fmt.Sprint("c", i)))
		assert.ErrorIs(t, err, context.Canceled)
		assert.Equal(t, k.Dump("", 0).Running, 0)
	}
	reply, err := k.Begin(ctx, newCall("p-1", "last"))
	assert.NilError(t, err)
	assert.Equal(t, reply.Start.Turn, 1)
}

func TestEndedPrograms(t *testing.T) {
	ctx := context.Background()
	fake := store.NewFake()
	k := newTestDriver(t, fake, "a")
	for _, root := range []string{"p-open", "p-ended"} {
		_, err := k.Open(ctx, OpenRequest{Program: root, Team: "team"})
		assert.NilError(t, err)
	}
	_, err := k.CloseProgram(ctx, CloseRequest{Program: "p-ended", Team: "team"})
	assert.NilError(t, err)
	asked := []string{"p-open", "p-ended", "p-never", "p-open.1"}
	want := []string{"p-ended", "p-never", "p-open.1"}
	assert.DeepEqual(t, k.Ended(ctx, asked), want)
	next := newTestDriver(t, fake, "b")
	assert.DeepEqual(t, next.Ended(ctx, asked), want)
	fake.SetFault(store.FaultUnavailable)
	assert.Equal(t, len(newTestDriver(t, fake, "c").Ended(ctx, asked)), 0)
}

// TestKeepersUnderFaults lets callers go on at two keepers of one table while
// answers of the store are lost and it is away for a time.
func TestDriversUnderFaults(t *testing.T) {
	ctx := context.Background()
	fake := store.NewFake()
	keepers := []*Keeper{newTestDriver(t, fake, "a"), newTestDriver(t, fake, "b")}
	ticks := group.NewGroup(ctx)
	ticks.Go(func(ctx context.Context) {
		faults := []store.Fault{store.FaultNone, store.FaultLost, store.FaultNone, store.FaultUnavailable, store.FaultUnknown}
		for i := 0; ctx.Err() == nil; i++ {
			fake.SetFault(faults[i/10%len(faults)])
			keepers[0].Tick()
			keepers[1].Tick()
			runtime.Gosched()
		}
	})
	callers := group.NewGroup(ctx)
	for i := range 16 {
		callers.Go(func(ctx context.Context) { runConversation(ctx, t, keepers, fmt.Sprint("p-", i), i) })
	}
	callers.Wait()
	ticks.Close()
	fake.SetFault(store.FaultNone)
	for i := range 16 {
		reply, err := newTestDriver(t, fake, "c").Begin(ctx, newCall(fmt.Sprint("p-", i), "last"))
		assert.NilError(t, err)
		assert.Equal(t, reply.Start.Turn, 6)
		for n := range 5 {
			assert.Equal(t, string(reply.Start.History[2*n+1].Body), fmt.Sprint("answer ", n))
		}
	}
}

// converse makes five calls, each at either keeper, until each is kept.
func runConversation(ctx context.Context, t *testing.T, keepers []*Keeper, root string, i int) {
	open := OpenRequest{Program: root, Team: "team"}
	retryUntil(t, func() bool {
		reply, err := keepers[i%2].Open(ctx, open)
		open.Resent = true
		return err == nil && reply.Kept
	})
	for n := range 5 {
		k := keepers[(i+n)%2]
		r := newCall(root, fmt.Sprint("call", n))
		r.ExpectedTurn = n + 1
		var start *Start
		retryUntil(t, func() bool {
			reply, err := k.Begin(ctx, r)
			if err == nil {
				start = reply.Start
			}
			return start != nil
		})
		if start == nil {
			return
		}
		end := newReport(r, start, fmt.Sprint("answer ", n))
		retryUntil(t, func() bool {
			reply, err := k.End(ctx, end)
			assert.Check(t, err != nil || !reply.Superseded)
			return err == nil && reply.Kept
		})
	}
}

// until tries again and again, but not for ever.
func retryUntil(t *testing.T, done func() bool) {
	for tries := 0; !done(); tries++ {
		if tries == maxAttempts {
			t.Error("tried too often")
			return
		}
		runtime.Gosched()
	}
}

func newReport(b BeginRequest, s *Start, answer string) EndRequest {
	return EndRequest{
		Program: b.Program, Team: b.Team, Turn: s.Turn, CallID: b.CallID, Attempt: b.Attempt,
		Relay: b.Relay, Kind: b.Kind, Digest: b.Digest, Previous: s.Previous,
		Outcome:      OutcomeCompleted,
		NewMessages:  []Message{{Role: "user", Body: []byte("ask " + b.CallID)}},
		Answer:       Message{Role: "assistant", Body: []byte(answer)},
		PromptTokens: 10, AnswerTokens: 5, Engine: "engine-1",
	}
}

func newCall(program, id string) BeginRequest {
	return BeginRequest{
		Program: program, Team: "team", CallID: id, Attempt: "1", Relay: "relay",
		Kind: KindModel, Digest: "digest of " + id, EstimatedTokens: 100,
	}
}

func TestTurnsSurviveLossOfHome(t *testing.T) {
	ctx := context.Background()
	fake := store.NewFake()
	k := newTestDriver(t, fake, "a")
	root := k.NewRoot()
	opened, err := k.Open(ctx, OpenRequest{Program: root, Team: "team"})
	assert.NilError(t, err)
	assert.Assert(t, opened.Kept)

	for _, id := range []string{"c1", "c2"} {
		begun, err := k.Begin(ctx, newCall(root, id))
		assert.NilError(t, err)
		assert.Assert(t, begun.Start != nil, "%+v", begun)
		ended, err := k.End(ctx, newReport(newCall(root, id), begun.Start, "answer "+id))
		assert.NilError(t, err)
		assert.Assert(t, ended.Kept)
	}

	other := newTestDriver(t, fake, "b")
	begun, err := other.Begin(ctx, newCall(root, "c3"))
	assert.NilError(t, err)
	assert.Equal(t, begun.Start.Turn, 3)
	assert.Equal(t, len(begun.Start.History), 4)
	assert.Equal(t, string(begun.Start.History[3].Body), "answer c2")
	replayed, err := other.Begin(ctx, newCall(root, "c1"))
	assert.NilError(t, err)
	assert.Equal(t, string(replayed.Replay.Answer.Body), "answer c1")
}
