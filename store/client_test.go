package store_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/stand"
	"github.com/buckthorntide/buckthorntide/store"
)

const testTimeout = 5 * time.Second

var _ store.Platform = (*store.Client)(nil)

func startPlatform(t testing.TB, timeout time.Duration) (*stand.Platform, *store.Client) {
	platform := stand.NewPlatform(stand.PlatformConfig{Seed: 1}, "127.0.0.1:0")
	assert.NilError(t, platform.Start())
	t.Cleanup(platform.Close)
	client := store.NewClient(platform.Address(), timeout)
	t.Cleanup(client.Close)
	return platform, client
}

func put(id, key, value string, version int64) store.Txn {
	return store.Txn{
		RequestID:  id,
		Conditions: []store.Condition{{Key: key, Version: version}},
		Writes:     []store.Write{{Key: key, Value: []byte(value)}},
	}
}

func ExampleClient() {
	platform := stand.NewPlatform(stand.PlatformConfig{}, "127.0.0.1:0")
	if err := platform.Start(); err != nil {
		fmt.Println(err)
		return
	}
	defer platform.Close()
	client := store.NewClient(platform.Address(), time.Second)
	defer client.Close()

	ctx := context.Background()
	version, err := client.Commit(ctx, put("request-1", "turn/1", "hello", 0))
	fmt.Println(version, err)
	_, err = client.Commit(ctx, put("request-2", "turn/1", "again", 0))
	fmt.Println(err)
	row, err := client.Get(ctx, "turn/1")
	fmt.Println(string(row.Value), row.Writer, err)
	// Output:
	// 1 <nil>
	// condition does not hold
	// hello request-1 <nil>
}

func TestClientCommitFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults stand.PlatformFaults
		before []store.Txn
		txn    store.Txn
		want   error
		value  string
	}{
		{
			name: "lost answer of an insert is settled", faults: stand.PlatformFaults{LoseNext: 1},
			txn: put("r", "k", "mine", 0), value: "mine",
		},
		{
			name: "every answer of an insert is lost", faults: stand.PlatformFaults{LoseProbability: 1},
			txn: put("r", "k", "mine", 0), value: "mine",
		},
		{
			name: "conflict with another's row", before: []store.Txn{put("other", "k", "theirs", 0)},
			txn: put("r", "k", "mine", 0), want: store.ErrConflict, value: "theirs",
		},
		{
			name: "unconditional write whose answer is lost is read back", faults: stand.PlatformFaults{LoseNext: 1},
			txn: store.Txn{RequestID: "r", Writes: []store.Write{{Key: "k", Value: []byte("mine")}}}, value: "mine",
		},
		{
			name: "delete whose answer is lost is unknown", faults: stand.PlatformFaults{LoseNext: 1},
			before: []store.Txn{put("other", "k", "theirs", 0)},
			txn: store.Txn{
				RequestID:  "r",
				Conditions: []store.Condition{{Key: "k", Version: 1}},
				Writes:     []store.Write{{Key: "k", Delete: true}},
			},
			want: store.ErrUnknown,
		},
		{
			name: "dropped connections leave the outcome unknown", faults: stand.PlatformFaults{Down: stand.DownDrop},
			txn: put("r", "k", "mine", 0), want: store.ErrUnknown,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx := context.Background()
			platform, client := startPlatform(t, testTimeout)
			for _, txn := range c.before {
				_, err := client.Commit(ctx, txn)
				assert.NilError(t, err)
			}
			platform.SetFaults(c.faults)
			_, err := client.Commit(ctx, c.txn)
			assert.Assert(t, errors.Is(err, c.want) || c.want == nil && err == nil, "%v", err)
			rows := platform.Rows("k")
			if c.value == "" {
				assert.Equal(t, len(rows), 0)
				return
			}
			assert.Equal(t, string(rows[0].Value), c.value)
		})
	}
}

func TestClientRefusedConnectionWritesNothing(t *testing.T) {
	platform, client := startPlatform(t, testTimeout)
	platform.Close()
	_, err := client.Commit(context.Background(), put("r", "k", "v", 0))
	assert.ErrorIs(t, err, store.ErrUnavailable)
	_, err = client.Get(context.Background(), "k")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.NilError(t, platform.Start())
	_, err = client.Commit(context.Background(), put("r", "k", "v", 0))
	assert.NilError(t, err)
}

func TestClientHungPlatformTimesOut(t *testing.T) {
	platform, client := startPlatform(t, 30*time.Millisecond)
	platform.SetFaults(stand.PlatformFaults{Down: stand.DownHang})
	_, err := client.Get(context.Background(), "k")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	_, err = client.Commit(context.Background(), put("r", "k", "v", 0))
	assert.ErrorIs(t, err, store.ErrUnknown)
}

func TestClientSlowPlatformStillAnswers(t *testing.T) {
	platform, client := startPlatform(t, testTimeout)
	platform.SetFaults(stand.PlatformFaults{Slow: conf.Duration(5 * time.Millisecond)})
	_, err := client.Commit(context.Background(), put("r", "k", "v", 0))
	assert.NilError(t, err)
}

func TestClientObjectsAndInstances(t *testing.T) {
	_, client := startPlatform(t, testTimeout)
	ctx := context.Background()
	assert.NilError(t, client.PutObject(ctx, "history/a b/1", []byte("body")))
	body, err := client.GetObject(ctx, "history/a b/1")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "body")
	names, err := client.ListObjects(ctx, "history/")
	assert.NilError(t, err)
	assert.DeepEqual(t, names, []string{"history/a b/1"})
	assert.NilError(t, client.DeleteObject(ctx, "history/a b/1"))
	_, err = client.GetObject(ctx, "history/a b/1")
	assert.ErrorIs(t, err, store.ErrNotFound)

	instance := store.Instance{Name: "i1", Address: "127.0.0.1:1", FailureDomain: "a"}
	assert.NilError(t, client.Announce(ctx, instance))
	list, err := client.ListInstances(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []store.Instance{instance})
}

func TestClientRange(t *testing.T) {
	_, client := startPlatform(t, testTimeout)
	ctx := context.Background()
	for _, key := range []string{"a/1", "b/1", "b/2", "b/3", "c/1"} {
		_, err := client.Commit(ctx, put(key, key, key, 0))
		assert.NilError(t, err)
	}
	rows, err := client.Range(ctx, "b/", "b/1", 1)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Key, "b/2")
}

func TestClientAppliesATransactionOnce(t *testing.T) {
	cases := []struct {
		name string
		txn  store.Txn
	}{
		{name: "conditional", txn: put("r", "k", "v", 0)},
		{name: "unconditional", txn: store.Txn{RequestID: "r", Writes: []store.Write{{Key: "k", Value: []byte("v")}}}},
		{name: "conditioned on another row", txn: store.Txn{
			RequestID:  "r",
			Conditions: []store.Condition{{Key: "other", Version: 0}},
			Writes:     []store.Write{{Key: "k", Value: []byte("v")}},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			platform, client := startPlatform(t, testTimeout)
			platform.SetFaults(stand.PlatformFaults{LoseNext: 1})
			_, err := client.Commit(context.Background(), c.txn)
			assert.NilError(t, err)
			assert.Equal(t, platform.Stats().Commits, int64(1))
		})
	}
}
