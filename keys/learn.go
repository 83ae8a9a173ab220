package keys

import (
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

type (
	// SyncResult is the result of processing data from the table service or a peer,
	// with what the caller must do next.
	SyncResult struct {
		// Withdrawn holds the newly withdrawn keys; their streams must be cancelled.
		Withdrawn []Hash
		// Reload means that the caller must read the complete set from the same
		// source, page by page, and then call FinishLoad with the revision that the
		// source had reported before.
		Reload bool
		// Fetch means that the caller must fetch the peer's changes since
		// Keys.Revision.
		Fetch bool
	}

	// PeerState is the state of the keys that an instance reports to its peers in
	// each heartbeat.
	PeerState struct {
		// Peer is the name of the sender.
		Peer string
		// Revision is the sender's Keys.Revision, or zero if it has not loaded.
		Revision int64
		// Loaded is the sender's Keys.Loaded: its pages can be read.
		Loaded bool
		// Settled reports whether the sender has confirmed its keys since its
		// start. Until then its revision is no evidence that nothing newer exists.
		Settled bool
		// StoreReached reports whether the sender, directly or via a peer, has data
		// from the table service, as of StoreAge ago.
		StoreReached bool `cbor:"StoreHeard"`
		// StoreAge is a duration rather than a point in time, since the instances'
		// clocks are not synchronized.
		StoreAge time.Duration
	}
)

// LearnHead applies the head row from a poll of the table service whose request
// was sent at the local time sent.
func (k *Keys) LearnHead(row store.Row, sent time.Time) (SyncResult, error) {
	h, err := DecodeHead(row)
	if err != nil {
		return SyncResult{}, err
	}
	if !k.loaded || !h.covers(k.revision) {
		withdrawn := k.apply(h.Changes)
		return SyncResult{Withdrawn: withdrawn, Reload: true}, nil
	}
	withdrawn := k.applyInOrder(h.Changes)
	if h.Revision >= k.revision {
		k.freshness.confirmByStore(sent)
	}
	return SyncResult{Withdrawn: withdrawn}, nil
}

// FinishLoad completes a load: every page was applied, and the source had reported
// the revision before the first page was requested. The caller must then pass in
// the same head row or peer state again, with its send time, to confirm the
// freshness of the keys.
func (k *Keys) FinishLoad(revision int64) {
	k.loaded = true
	if revision > k.revision {
		k.revision = revision
		k.recent = nil
	}
	k.freshness.setLoaded()
}

// LearnPeer processes a peer's state whose request was sent at the local time
// sent. The peer confirms freshness only if it has no newer revision.
func (k *Keys) LearnPeer(s PeerState, sent time.Time) SyncResult {
	if s.Loaded && !k.loaded {
		return SyncResult{Reload: true}
	}
	if s.Revision > k.revision {
		return SyncResult{Fetch: true}
	}
	k.freshness.confirmByPeer(s, sent)
	return SyncResult{}
}

// LearnSince applies a peer's reply to a fetch: its changes, and whether they
// include all that this instance lacks.
func (k *Keys) LearnSince(changes []Change, complete bool) SyncResult {
	if !complete {
		return SyncResult{Withdrawn: k.apply(changes), Reload: true}
	}
	return SyncResult{Withdrawn: k.applyInOrder(changes)}
}

// State returns the state that this instance, under its name, reports to peers
// at the time now.
func (k *Keys) State(name string, now time.Time) PeerState {
	s := PeerState{Peer: name, Loaded: k.loaded, Settled: k.freshness.settled}
	if k.loaded {
		s.Revision = k.revision
	}
	s.StoreReached, s.StoreAge = k.freshness.storeAge(now)
	return s
}

// Fresh reports whether the keys are recent enough to authenticate requests: the
// complete set was read, and within the timeout it was confirmed by the table
// service, directly or via a peer, or by a quorum of peers that have no newer
// revision.
func (k *Keys) Fresh(now time.Time) bool { return k.freshness.fresh(now) }

// SetQuorumPeers sets the number of peers that can confirm the keys while the table
// service is unreachable.
func (k *Keys) SetQuorumPeers(peers int) { k.freshness.setQuorumPeers(peers) }

// RemovePeer removes a peer that has left the fleet.
func (k *Keys) RemovePeer(peer string) { k.freshness.removePeer(peer) }
