package store_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/buckthorntide/buckthorntide/store"
)

func newCommitter(t testing.TB, table store.Table) *store.Committer {
	return newMarkedCommitter(t, table, "")
}

func newMarkedCommitter(t testing.TB, table store.Table, prefix string) *store.Committer {
	c := store.NewCommitter(table, store.CommitterConfig{Backoff: time.Microsecond, MarkerPrefix: prefix})
	t.Cleanup(c.Close)
	return c
}

// hold lets no call reach the fake until the returned function is called.
func hold(fake *store.Fake) (release func()) {
	gate := make(chan struct{})
	fake.SetHook(func(ctx context.Context, _ store.FakeCall) {
		select {
		case <-gate:
		case <-ctx.Done():
		}
	})
	return func() { close(gate) }
}

func submitAll(t assert.TestingT, c *store.Committer, txns []store.Txn) []store.Outcome {
	pending := make([]*store.Pending, 0, len(txns))
	for _, txn := range txns {
		p, err := c.Submit(txn)
		assert.NilError(t, err)
		pending = append(pending, p)
	}
	outcomes := make([]store.Outcome, 0, len(pending))
	for _, p := range pending {
		<-p.Done()
		outcomes = append(outcomes, p.Outcome())
	}
	return outcomes
}

func awaitCalls(t testing.TB, fake *store.Fake, committer *store.Committer, queued int) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if committer.Stats().Queued == queued && committer.Stats().Writes > 0 {
			return poll.Success()
		}
		return poll.Continue("queued: %d, calls: %v", committer.Stats().Queued, fake.Calls(store.OpCommit))
	}, poll.WithDelay(time.Millisecond))
}

func ExampleCommitter() {
	committer := store.NewCommitter(store.NewFake(), store.CommitterConfig{})
	defer committer.Close()
	for _, id := range []string{"first", "second"} {
		outcome, err := committer.Commit(context.Background(), put(id, "turn/1", id, 0))
		fmt.Println(outcome.Version, err)
	}
	// Output:
	// 1 <nil>
	// 0 condition does not hold
}

func TestCommitterOutcomes(t *testing.T) {
	commit := func(fault store.Fault) store.FakeCall { return store.FakeCall{Operation: store.OpCommit, Fault: fault} }
	cases := []struct {
		name   string
		marker string
		calls  []store.FakeCall
		txns   []store.Txn
		errs   []error
		values []string
	}{
		{
			name:   "one conflict fails no other",
			txns:   []store.Txn{put("", "a", "1", 7), put("", "b", "2", 0), put("", "c", "3", 0)},
			errs:   []error{store.ErrConflict, nil, nil},
			values: []string{"b=2", "c=3"},
		},
		{
			name:   "of two on one row the first wins",
			txns:   []store.Txn{put("", "a", "1", 0), put("", "a", "2", 0), put("", "b", "3", 0)},
			errs:   []error{nil, store.ErrConflict, nil},
			values: []string{"a=1", "b=3"},
		},
		{
			name:   "the platform is away for a while",
			calls:  []store.FakeCall{commit(store.FaultUnavailable), commit(store.FaultUnavailable)},
			txns:   []store.Txn{put("", "a", "1", 0)},
			errs:   []error{nil},
			values: []string{"a=1"},
		},
		{
			name:   "the answer is lost after the write",
			calls:  []store.FakeCall{commit(store.FaultLost)},
			txns:   []store.Txn{put("", "a", "1", 0), put("", "b", "2", 0)},
			errs:   []error{nil, nil},
			values: []string{"a=1", "b=2"},
		},
		{
			name:   "the request is lost before the write",
			calls:  []store.FakeCall{commit(store.FaultUnknown), commit(store.FaultUnavailable)},
			txns:   []store.Txn{put("", "a", "1", 0)},
			errs:   []error{nil},
			values: []string{"a=1"},
		},
		{
			name: "the answer is lost and so is the reading back",
			calls: []store.FakeCall{
				commit(store.FaultLost),
				{Operation: store.OpGet, Key: "a", Fault: store.FaultUnavailable},
			},
			txns:   []store.Txn{put("", "a", "1", 0)},
			errs:   []error{nil},
			values: []string{"a=1"},
		},
		{
			name:   "an unconditional write whose answer is lost stays unknown",
			calls:  []store.FakeCall{commit(store.FaultLost)},
			txns:   []store.Txn{{Writes: []store.Write{{Key: "a", Value: []byte("1")}}}},
			errs:   []error{store.ErrUnknown},
			values: []string{"a=1"},
		},
		{
			name:   "an unconditional write whose answer is lost is settled by the marker",
			marker: "marker/",
			calls:  []store.FakeCall{commit(store.FaultLost)},
			txns:   []store.Txn{{Writes: []store.Write{{Key: "a", Value: []byte("1")}}}},
			errs:   []error{nil},
			values: []string{"a=1"},
		},
		{
			name:   "a conflict whose request is lost is settled by the marker",
			marker: "marker/",
			calls:  []store.FakeCall{commit(store.FaultUnknown)},
			txns:   []store.Txn{put("", "a", "1", 7)},
			errs:   []error{store.ErrConflict},
			values: []string{},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fake := store.NewFake()
			release := hold(fake)
			committer := newMarkedCommitter(t, fake, c.marker)
			fake.Expect(c.calls...)
			release()
			for i, outcome := range submitAll(t, committer, c.txns) {
				assert.Equal(t, outcome.Err, c.errs[i], "transaction %d", i)
			}
			assert.NilError(t, fake.Verify())
			assert.DeepEqual(t, values(t, fake), c.values)
		})
	}
}

func values(t testing.TB, table store.Table) []string {
	rows, err := table.Range(context.Background(), "", "", 1000)
	assert.NilError(t, err)
	found := make([]string, 0, len(rows))
	for _, row := range rows {
		if len(row.Value) > 0 {
			found = append(found, row.Key+"="+string(row.Value))
		}
	}
	return found
}

func TestCommitterGathersWhileAWriteIsInFlight(t *testing.T) {
	fake := store.NewFake()
	release := hold(fake)
	committer := newCommitter(t, fake)
	txns := make([]store.Txn, 0, 100)
	for i := range 100 {
		txns = append(txns, put("", fmt.Sprint("k", i), "v", 0))
	}
	first, err := committer.Submit(put("", "first", "v", 0))
	assert.NilError(t, err)
	awaitCalls(t, fake, committer, 1)
	for _, txn := range txns {
		_, err := committer.Submit(txn)
		assert.NilError(t, err)
	}
	release()
	<-first.Done()
	assert.NilError(t, committer.Flush(context.Background()))
	assert.Equal(t, committer.Stats().Writes, int64(2))
	assert.Equal(t, committer.Stats().Committed, int64(101))
}

func TestCommitterBoundsItsQueue(t *testing.T) {
	fake := store.NewFake()
	release := hold(fake)
	committer := store.NewCommitter(fake, store.CommitterConfig{MaxQueue: 1})
	defer committer.Close()
	_, err := committer.Submit(put("", "a", "1", 0))
	assert.NilError(t, err)
	_, err = committer.Submit(put("", "b", "1", 0))
	assert.ErrorIs(t, err, store.ErrQueueFull)
	release()
	assert.NilError(t, committer.Flush(context.Background()))
	_, err = committer.Submit(put("", "b", "1", 0))
	assert.NilError(t, err)
}

func TestCommitterWithdraws(t *testing.T) {
	fake := store.NewFake()
	release := hold(fake)
	committer := newCommitter(t, fake)
	_, err := committer.Submit(put("", "a", "1", 0))
	assert.NilError(t, err)
	awaitCalls(t, fake, committer, 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = committer.Commit(ctx, put("", "b", "1", 0))
	assert.ErrorIs(t, err, store.ErrUnavailable)
	release()
	assert.NilError(t, committer.Flush(context.Background()))
	assert.DeepEqual(t, values(t, fake), []string{"a=1"})
}

func TestCommitterCloseEndsWhatIsLeft(t *testing.T) {
	fake := store.NewFake()
	hold(fake)
	committer := store.NewCommitter(fake, store.CommitterConfig{})
	first, err := committer.Submit(put("", "a", "1", 0))
	assert.NilError(t, err)
	awaitCalls(t, fake, committer, 1)
	second, err := committer.Submit(put("", "b", "1", 0))
	assert.NilError(t, err)
	committer.Close()
	<-first.Done()
	<-second.Done()
	assert.ErrorIs(t, second.Outcome().Err, store.ErrClosed)
	_, err = committer.Submit(put("", "c", "1", 0))
	assert.ErrorIs(t, err, store.ErrClosed)
}

func TestCommitterRemovesItsMarker(t *testing.T) {
	fake := store.NewFake()
	committer := newMarkedCommitter(t, fake, "marker/")
	_, err := committer.Commit(context.Background(), put("", "a", "1", 0))
	assert.NilError(t, err)
	rows, err := fake.Range(context.Background(), "marker/", "", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	_, err = fake.Commit(context.Background(), store.Txn{Writes: []store.Write{{Key: rows[0].Key, Delete: true}}})
	assert.NilError(t, err)
	_, err = committer.Commit(context.Background(), put("", "b", "2", 0))
	assert.NilError(t, err)
	committer.Close()
	rows, err = fake.Range(context.Background(), "marker/", "", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 0)
}

func TestCommitterTellsThatThePlatformIsUnreachable(t *testing.T) {
	for _, fault := range []store.Fault{store.FaultUnavailable, store.FaultUnknown} {
		t.Run(string(fault), func(t *testing.T) {
			fake := store.NewFake()
			committer := newMarkedCommitter(t, fake, "marker/")
			assert.Assert(t, !committer.Unreachable())
			fake.SetFault(fault)
			pending, err := committer.Submit(put("", "a", "1", 0))
			assert.NilError(t, err)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if committer.Unreachable() {
					return poll.Success()
				}
				return poll.Continue("still taken for reachable")
			}, poll.WithDelay(time.Millisecond))
			fake.SetFault(store.FaultNone)
			<-pending.Done()
			assert.NilError(t, pending.Outcome().Err)
			assert.Assert(t, !committer.Unreachable())
		})
	}
}
