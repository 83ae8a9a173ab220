package prog

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/store"
)

func newTestIntents(fake *store.Fake, instance string) *Intents {
	return NewIntents(IntentsOptions{
		Common:    common.NewCommon(hclog.NewNullLogger(), conf.DefaultSettings()),
		Table:     fake,
		Objects:   fake,
		Committer: fake,
		Self:      Dispatcher{Instance: instance, Epoch: "1"},
		Live:      func(d Dispatcher) bool { return d.Instance != "dead" },
	})
}

func newDeposit(key string) ClaimRequest {
	return ClaimRequest{
		Team: "team", Service: "deposits", Key: key, Digest: "digest",
		Deadline: time.Now().Add(time.Minute),
	}
}

func TestResendOfACall(t *testing.T) {
	large := CallAnswer{Status: 201, Body: make([]byte, maxInlineBytes+1)}
	small := CallAnswer{Status: 200, ContentType: "text/plain", Body: []byte("paid")}
	ctx := context.Background()
	cases := []struct {
		name   string
		first  func(i *Intents, c *Claim)
		change func(*ClaimRequest)
		check  func(t *testing.T, r *ClaimReply)
	}{
		{"after its answer", func(i *Intents, c *Claim) { i.Settle(ctx, c, small) }, nil, func(t *testing.T, r *ClaimReply) {
			assert.DeepEqual(t, *r.Replay, small)
		}},
		{"after a large answer", func(i *Intents, c *Claim) { i.Settle(ctx, c, large) }, nil, func(t *testing.T, r *ClaimReply) {
			assert.DeepEqual(t, *r.Replay, large)
		}},
		{"after the first was not dispatched", func(i *Intents, c *Claim) { i.SettleNotRun(ctx, c) }, nil, func(t *testing.T, r *ClaimReply) {
			assert.Assert(t, r.Run != nil)
		}},
		{"after its answer was lost", func(i *Intents, c *Claim) { i.SettleUnknown(ctx, c) }, nil, func(t *testing.T, r *ClaimReply) {
			assert.Equal(t, r.Refusal.RunState, Unknown)
		}},
		{"while the first runs", func(*Intents, *Claim) {}, func(r *ClaimRequest) { r.Deadline = time.Now() }, func(t *testing.T, r *ClaimReply) {
			assert.Equal(t, r.Refusal.RunState, Unknown)
		}},
		{"with another body", func(*Intents, *Claim) {}, func(r *ClaimRequest) { r.Digest = "other" }, func(t *testing.T, r *ClaimReply) {
			assert.Equal(t, r.Refusal.Reason, ReasonConflict)
		}},
		{"of another team", func(*Intents, *Claim) {}, func(r *ClaimRequest) { r.Team = "other" }, func(t *testing.T, r *ClaimReply) {
			assert.Assert(t, r.Run != nil)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fake := store.NewFake()
			i := newTestIntents(fake, "a")
			first := i.Claim(ctx, newDeposit("key/1"))
			c.first(i, first.Run)
			r := newDeposit("key/1")
			if c.change != nil {
				c.change(&r)
			}
			c.check(t, newTestIntents(fake, "b").Claim(ctx, r))
		})
	}
}

func TestCallOfFailedDispatcherIsUnknown(t *testing.T) {
	fake := store.NewFake()
	newTestIntents(fake, "dead").Claim(context.Background(), newDeposit("key"))
	r := newTestIntents(fake, "b").Claim(context.Background(), newDeposit("key"))
	assert.Equal(t, r.Refusal.RunState, Unknown)
}

func TestClaimWhileStoreIsUnreachable(t *testing.T) {
	cases := []struct {
		name      string
		generated bool
		want      RunState
	}{
		{"a generated key", true, NotRun},
		{"a caller's key that may have run before", false, Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fake := store.NewFake()
			fake.SetFault(store.FaultUnavailable)
			r := newDeposit("key")
			r.Generated, r.Deadline = c.generated, time.Now()
			reply := newTestIntents(fake, "a").Claim(context.Background(), r)
			assert.Equal(t, reply.Refusal.RunState, c.want)
		})
	}
}

// TestClaimWithUnknownCommitIsSettled guards against a call that stays blocked
// after its claim was refused: the answer to the commit is lost and the read
// that would tell its outcome fails.
func TestClaimWithUnknownCommitIsSettled(t *testing.T) {
	ctx := context.Background()
	fake := store.NewFake()
	i := newTestIntents(fake, "a")
	fake.Expect(
		store.FakeCall{Operation: store.OpCommit, Fault: store.FaultLost},
		store.FakeCall{Operation: store.OpGet, Fault: store.FaultUnavailable},
	)
	r := newDeposit("key")
	r.Deadline = time.Now()
	assert.Equal(t, i.Claim(ctx, r).Refusal.RunState, Unknown)
	assert.Equal(t, i.Pending(), 1)
	i.Sweep(ctx)
	assert.Equal(t, i.Pending(), 0)
	assert.Assert(t, newTestIntents(fake, "b").Claim(ctx, newDeposit("key")).Run != nil)
	assert.NilError(t, fake.Verify())
}

func TestLargeAnswerIsStoredAfterObjectStoreRecovers(t *testing.T) {
	ctx := context.Background()
	fake := store.NewFake()
	i := newTestIntents(fake, "a")
	claim := i.Claim(ctx, newDeposit("key")).Run
	fake.Expect(store.FakeCall{Operation: store.OpPutObject, Fault: store.FaultUnavailable})
	answer := CallAnswer{Status: 200, Body: make([]byte, maxInlineBytes+1)}
	assert.Assert(t, !i.Settle(ctx, claim, answer))
	i.Sweep(ctx)
	assert.DeepEqual(t, *i.Claim(ctx, newDeposit("key")).Replay, answer)
}

func TestAnswerIsStoredAfterStoreRecovers(t *testing.T) {
	ctx := context.Background()
	fake := store.NewFake()
	i := newTestIntents(fake, "a")
	claim := i.Claim(ctx, newDeposit("key")).Run
	fake.SetFault(store.FaultUnavailable)
	assert.Assert(t, !i.Settle(ctx, claim, CallAnswer{Status: 200}))
	i.Sweep(ctx)
	assert.Equal(t, i.Pending(), 1)
	fake.SetFault(store.FaultNone)
	i.Sweep(ctx)
	assert.Equal(t, i.Pending(), 0)
	assert.Equal(t, i.Claim(ctx, newDeposit("key")).Replay.Status, 200)
	assert.Equal(t, len(fake.Calls(store.OpCommit)), 4)
}

func TestClaimWithLostCommitAnswerIsReadBack(t *testing.T) {
	ctx := context.Background()
	fake := store.NewFake()
	fake.Expect(store.FakeCall{Operation: store.OpCommit, Fault: store.FaultLost})
	i := newTestIntents(fake, "a")
	claim := i.Claim(ctx, newDeposit("key")).Run
	assert.Assert(t, claim != nil)
	assert.Assert(t, i.Settle(ctx, claim, CallAnswer{Status: 200}))
}

func TestSettledClaimIsNotRunAgain(t *testing.T) {
	c := &claimer{request: newDeposit("key"), claimID: "claim"}
	row := c.plannedRow()
	row.State = IntentUnknown
	step := c.read(store.Row{Version: 2, Value: mustEncode(&row)}, nil, time.Now())
	assert.Equal(t, step.reply.Refusal.RunState, Unknown)
}

func TestCorruptAnswerIsNotReplayed(t *testing.T) {
	ctx := context.Background()
	fake := store.NewFake()
	i := newTestIntents(fake, "a")
	claim := i.Claim(ctx, newDeposit("key")).Run
	i.Settle(ctx, claim, CallAnswer{Body: make([]byte, maxInlineBytes+1)})
	for _, c := range fake.Calls(store.OpPutObject) {
		assert.NilError(t, fake.PutObject(ctx, c.Key, []byte("{}")))
	}
	r := i.Claim(ctx, newDeposit("key"))
	assert.DeepEqual(t, *r.Refusal, Refusal{Reason: ReasonDamaged, RunState: Ran})
}

func TestIntentKeysDiffer(t *testing.T) {
	assert.Assert(t, IntentKey("a", "b", "c/d") != IntentKey("a", "b/c", "d"))
}
