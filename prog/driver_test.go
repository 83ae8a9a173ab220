package prog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/store"
)

const (
	maxAttempts = 200_000
	// testTickInterval is how far a tickClock advances with each tick.
	testTickInterval = 10 * time.Millisecond
)

// tickClock is a clock that advances with the ticks of a test, so that the
// number of attempts between two retries of the store doesn't depend on how
// busy the machine is.
type tickClock struct {
	start   time.Time
	elapsed atomic.Int64
}

func (c *tickClock) Now() time.Time { return c.start.Add(time.Duration(c.elapsed.Load())) }

func (c *tickClock) advance() { c.elapsed.Add(int64(testTickInterval)) }

func newTestDriver(t *testing.T, fake *store.Fake, instance string) *Driver {
	t.Helper()
	return newTestDriverWithClock(t, fake, instance, common.SystemClock{})
}

func newTestDriverWithClock(t *testing.T, fake *store.Fake, instance string, clock common.Clock) *Driver {
	t.Helper()
	c := common.NewCommon(hclog.NewNullLogger(), conf.DefaultSettings())
	c.Clock = clock
	d := NewDriver(context.Background(), DriverOptions{
		Core:      DefaultOptions(instance, "1"),
		Common:    c,
		Table:     fake,
		Objects:   fake,
		Committer: fake,
		Random:    rand.New(rand.NewPCG(1, 2)),
	})
	t.Cleanup(d.Close)
	return d
}

func TestCancelledCallerHoldsNoTurn(t *testing.T) {
	ctx := context.Background()
	d := newTestDriver(t, store.NewFake(), "a")
	_, err := d.Open(ctx, OpenRequest{Program: "p-1", Team: "team"})
	assert.NilError(t, err)
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	for i := range 20 { // the reply races with the end of the context
		_, err = d.Begin(cancelled, newCall("p-1", fmt.Sprint("c", i)))
		assert.ErrorIs(t, err, context.Canceled)
		assert.Equal(t, d.Dump("", 0).Running, 0)
	}
	reply, err := d.Begin(ctx, newCall("p-1", "last"))
	assert.NilError(t, err)
	assert.Equal(t, reply.Start.Turn, 1)
}

func TestEndedPrograms(t *testing.T) {
	ctx := context.Background()
	fake := store.NewFake()
	d := newTestDriver(t, fake, "a")
	for _, root := range []string{"p-open", "p-ended"} {
		_, err := d.Open(ctx, OpenRequest{Program: root, Team: "team"})
		assert.NilError(t, err)
	}
	_, err := d.CloseProgram(ctx, CloseRequest{Program: "p-ended", Team: "team"})
	assert.NilError(t, err)
	programs := []string{"p-open", "p-ended", "p-never", "p-open.1"}
	want := []string{"p-ended", "p-never", "p-open.1"}
	assert.DeepEqual(t, d.Ended(ctx, programs), want)
	next := newTestDriver(t, fake, "b")
	assert.DeepEqual(t, next.Ended(ctx, programs), want)
	fake.SetFault(store.FaultUnavailable)
	assert.Equal(t, len(newTestDriver(t, fake, "c").Ended(ctx, programs)), 0)
}

// TestDriversUnderFaults guards against lost or superseded turns when callers
// switch between two homes of one table, while answers of the store are lost
// and the store is unreachable at times.
func TestDriversUnderFaults(t *testing.T) {
	ctx := context.Background()
	fake := store.NewFake()
	clock := &tickClock{start: time.Now()}
	drivers := []*Driver{
		newTestDriverWithClock(t, fake, "a", clock),
		newTestDriverWithClock(t, fake, "b", clock),
	}
	ticks := group.NewGroup(ctx)
	ticks.Go(func(ctx context.Context) {
		faults := []store.Fault{store.FaultNone, store.FaultLost, store.FaultNone, store.FaultUnavailable, store.FaultUnknown}
		for i := 0; ctx.Err() == nil; i++ {
			clock.advance()
			fake.SetFault(faults[i/10%len(faults)])
			drivers[0].Tick()
			drivers[1].Tick()
			runtime.Gosched()
		}
	})
	callers := group.NewGroup(ctx)
	for i := range 16 {
		callers.Go(func(ctx context.Context) { runConversation(ctx, t, drivers, fmt.Sprint("p-", i), i) })
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

// runConversation makes five calls at alternating homes and repeats each
// request until it is kept.
func runConversation(ctx context.Context, t *testing.T, drivers []*Driver, root string, i int) {
	open := OpenRequest{Program: root, Team: "team"}
	retryUntil(t, func() bool {
		reply, err := drivers[i%2].Open(ctx, open)
		open.Resent = true
		return err == nil && reply.Kept
	})
	for n := range 5 {
		d := drivers[(i+n)%2]
		r := newCall(root, fmt.Sprint("call", n))
		r.ExpectedTurn = n + 1
		var start *Start
		retryUntil(t, func() bool {
			reply, err := d.Begin(ctx, r)
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
			reply, err := d.End(ctx, end)
			assert.Check(t, err != nil || !reply.Superseded)
			return err == nil && reply.Kept
		})
	}
}

// retryUntil repeats done until it returns true, up to maxAttempts times.
func retryUntil(t *testing.T, done func() bool) {
	for tries := 0; !done(); tries++ {
		if tries == maxAttempts {
			t.Error("too many attempts")
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
	d := newTestDriver(t, fake, "a")
	root := d.NewRoot()
	opened, err := d.Open(ctx, OpenRequest{Program: root, Team: "team"})
	assert.NilError(t, err)
	assert.Assert(t, opened.Kept)

	for _, id := range []string{"c1", "c2"} {
		begun, err := d.Begin(ctx, newCall(root, id))
		assert.NilError(t, err)
		assert.Assert(t, begun.Start != nil, "%+v", begun)
		ended, err := d.End(ctx, newReport(newCall(root, id), begun.Start, "answer "+id))
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
