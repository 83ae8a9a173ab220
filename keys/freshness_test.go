package keys

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/store"
)

// TestFreshAndSettled checks which replies make an instance of five fresh and
// settled after its restart. An instance that is settled too early may vouch for
// keys that lack a withdrawal it acknowledged before the restart.
func TestFreshAndSettled(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	settled := func(name string) PeerState { return PeerState{Peer: name, Loaded: true, Settled: true} }
	withStore := func(age time.Duration) PeerState {
		s := settled("a")
		s.StoreReached, s.StoreAge = true, age
		return s
	}
	unsettled := settled("c")
	unsettled.Settled = false
	newer := settled("c")
	newer.Revision = 1
	tests := []struct {
		name           string
		replies        []PeerState
		storeReached   bool
		after          time.Duration
		fresh, settled bool
	}{
		{"nobody", nil, false, 0, false, false},
		{"table service", nil, true, testTimeout - 1, true, true},
		{"table service, expired", nil, true, testTimeout, false, true},
		{"two peers, enough only once settled", []PeerState{settled("a"), settled("b")}, false, 0, false, false},
		{"three peers", []PeerState{settled("a"), settled("b"), settled("c")}, false, testTimeout - 1, true, true},
		{"three peers, expired", []PeerState{settled("a"), settled("b"), settled("c")}, false, testTimeout, false, true},
		{"one peer three times", []PeerState{settled("a"), settled("a"), settled("a")}, false, 0, false, false},
		{"third peer is not settled", []PeerState{settled("a"), settled("b"), unsettled}, false, 0, false, false},
		{"third peer has a newer revision", []PeerState{settled("a"), settled("b"), newer}, false, 0, false, false},
		{"table service via a peer, before the start", []PeerState{withStore(time.Second)}, false, 0, true, false},
		{"table service via a peer, since the start", []PeerState{withStore(0)}, false, 0, true, true},
		{"table service via a peer, expired", []PeerState{withStore(time.Second)}, false, testTimeout - time.Second, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := NewKeys(CallerKind, Freshness{Timeout: testTimeout, Peers: QuorumPeers(5)})
			k.FinishLoad(0)
			for _, s := range tt.replies {
				k.LearnPeer(s, start)
			}
			if tt.storeReached {
				_, err := k.LearnHead(store.Row{}, start)
				assert.NilError(t, err)
			}
			assert.Equal(t, k.Fresh(start.Add(tt.after)), tt.fresh)
			assert.Equal(t, k.State("me", start).Settled, tt.settled)
		})
	}
}

func TestNotFreshBeforeTheFirstLoad(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	k := newTestKeys()
	learned, err := k.LearnHead(store.Row{}, now)
	assert.NilError(t, err)
	assert.Assert(t, learned.Reload)
	assert.Assert(t, !k.Fresh(now))
	k.FinishLoad(0)
	_, err = k.LearnHead(store.Row{}, now)
	assert.NilError(t, err)
	assert.Assert(t, k.Fresh(now))
}

func TestRemovedPeersDoNotCountTowardsTheQuorum(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	k := newTestKeys()
	k.FinishLoad(0)
	for _, name := range []string{"a", "b"} {
		k.LearnPeer(PeerState{Peer: name, Loaded: true, Settled: true}, now)
	}
	assert.Assert(t, k.Fresh(now))
	k.SetQuorumPeers(2)
	assert.Assert(t, k.Fresh(now))
	k.RemovePeer("b")
	assert.Assert(t, !k.Fresh(now))
}

func TestAcksRequireAMajority(t *testing.T) {
	a := NewAcks(7, 4)
	a.Observe("a", 7)
	a.Observe("a", 8)
	a.Observe("b", 9)
	a.Observe("c", 6)
	assert.Assert(t, !a.Done())
	a.Observe("c", 7)
	assert.Assert(t, a.Done())
}

func TestSinceReportsMissingChanges(t *testing.T) {
	k := newTestKeys()
	for n := range int64(maxRecentChanges + 2) {
		_, h := testKey(CallerKind, uint64(n))
		k.Push(Change{Revision: n + 1, Hash: h, Team: "t"})
	}
	changes, complete := k.Since(2)
	assert.Assert(t, complete)
	assert.Equal(t, len(changes), maxRecentChanges)
	assert.Equal(t, changes[0].Revision, int64(3))
	_, complete = k.Since(1)
	assert.Assert(t, !complete)
	changes, complete = k.Since(maxRecentChanges + 9)
	assert.Assert(t, complete)
	assert.Equal(t, len(changes), 0)
}

func TestOlderStateIsIgnored(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	key, h := testKey(CallerKind, 1)
	table := newFakeTable()
	p, err := Issue(CallerKind, store.Row{}, key, "atlas", "", "r")
	assert.NilError(t, err)
	assert.NilError(t, table.apply(p.Txn))
	k := newTestKeys()
	k.FinishLoad(2)
	k.Push(Change{Revision: 2, Hash: h, Withdrawn: true})
	learned, err := k.LearnHead(table.rows["keys/head"], now)
	assert.NilError(t, err)
	assert.DeepEqual(t, learned, SyncResult{})
	k.FinishLoad(1)
	assert.Equal(t, k.Revision(), int64(2))
	assert.Assert(t, !k.Fresh(now), "a stale read must not confirm the keys")
	_, err = k.Check(key)
	assert.ErrorIs(t, err, ErrWithdrawn)
}
