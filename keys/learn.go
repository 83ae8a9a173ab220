package keys

import (
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

type (
	// Learned is what came of hearing the table service or a peer.
	Learned struct {
		// Cut are the keys that were withdrawn; their streams must end.
		Cut []Hash
		// Reload asks to read the whole set from the same source, page by page,
		// and then to call EndLoad with the revision that the source had told.
		Reload bool
		// Fetch asks for the peer's changes since Keys.Revision.
		Fetch bool
	}

	// PeerState is what instances tell one another with each heartbeat.
	PeerState struct {
		// Peer is the sender's name.
		Peer string
		// Revision is the sender's Keys.Revision; zero if it has not loaded.
		Revision int64
		// Loaded is the sender's Keys.Loaded: its pages may be read.
		Loaded bool
		// Settled says that the sender has been fresh since its start; else its
		// knowing nothing newer means nothing.
		Settled bool
		// StoreHeard says that the sender, or one it hears, has heard the table
		// service, StoreAge ago.
		StoreHeard bool
		// StoreAge is a time span, since clocks can't be compared.
		StoreAge time.Duration
	}
)

// LearnHead takes the head row as polled from the table service. The request
// was sent at the time sent, by this instance's clock.
func (k *Keys) LearnHead(row store.Row, sent time.Time) (Learned, error) {
	h, err := DecodeHead(row)
	if err != nil {
		return Learned{}, err
	}
	if !k.loaded || !h.covers(k.revision) {
		cut := k.apply(h.Changes)
		return Learned{Cut: cut, Reload: true}, nil
	}
	cut := k.learn(h.Changes)
	if h.Revision >= k.revision {
		k.freshness.hearStore(sent)
	}
	return Learned{Cut: cut}, nil
}

// EndLoad says that every page of the whole set was learned from a source that
// had the revision before the first page was asked for. Hand the same head row
// or peer's state in again, with its time of sending, to count it as heard.
func (k *Keys) EndLoad(revision int64) {
	k.loaded = true
	if revision > k.revision {
		k.revision = revision
		k.recent = nil
	}
	k.freshness.load()
}

// LearnPeer takes a peer's state, whose request was sent at the time sent. A
// peer counts as heard only if it knows nothing newer.
func (k *Keys) LearnPeer(s PeerState, sent time.Time) Learned {
	if s.Loaded && !k.loaded {
		return Learned{Reload: true}
	}
	if s.Revision > k.revision {
		return Learned{Fetch: true}
	}
	k.freshness.hearPeer(s, sent)
	return Learned{}
}

// LearnSince takes a peer's answer to a fetch: its changes, and whether they
// are all that this instance lacks.
func (k *Keys) LearnSince(changes []Change, whole bool) Learned {
	if !whole {
		return Learned{Cut: k.apply(changes), Reload: true}
	}
	return Learned{Cut: k.learn(changes)}
}

// State returns what this instance tells its peers at the time now.
func (k *Keys) State(name string, now time.Time) PeerState {
	s := PeerState{Peer: name, Loaded: k.loaded, Settled: k.freshness.settled}
	if k.loaded {
		s.Revision = k.revision
	}
	s.StoreHeard, s.StoreAge = k.freshness.storeAge(now)
	return s
}

// Fresh says that the keys may be relied on: the whole set was read, and
// within the timeout the table service was heard, by this instance or by a
// peer that it heard, or enough peers were heard that know nothing newer.
func (k *Keys) Fresh(now time.Time) bool { return k.freshness.fresh(now) }

// Want changes how many peers stand in for the table service.
func (k *Keys) Want(peers int) { k.freshness.want(peers) }

// Forget drops a peer that left for good.
func (k *Keys) Forget(peer string) { k.freshness.forget(peer) }
