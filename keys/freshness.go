package keys

import (
	"slices"
	"sync/atomic"
	"time"
)

type (
	// Freshness configures how long an instance relies on its keys without a
	// confirmation that they are current.
	Freshness struct {
		// Timeout is how long a confirmation is valid.
		Timeout time.Duration
		// Peers is the number of peers that must confirm the keys while the table
		// service is unreachable; it is at least 1. If it is half the number of
		// instances, rounded down, every fresh instance has applied a withdrawal
		// that a majority acknowledged; see Acks.
		Peers int
	}

	// freshness records when the table service and each peer last confirmed the
	// keys. Requests read the expiry; all other fields belong to the control
	// goroutine.
	freshness struct {
		options Freshness
		loaded  bool
		// settled is true once the keys were confirmed since the start. This takes
		// one peer more than later confirmations, since a restarted instance no
		// longer holds the changes that it acknowledged before.
		settled bool
		// started is the send time of the first request, which is not before the
		// start of the process.
		started time.Time
		// store and peers hold the times of the last confirmations.
		store time.Time
		peers map[string]time.Time
		// expiry is the time at which the keys stop being fresh; nil means that they
		// are not fresh.
		expiry atomic.Pointer[time.Time]
	}
)

func newFreshness(options Freshness) *freshness {
	options.Peers = max(options.Peers, 1)
	return &freshness{options: options, peers: make(map[string]time.Time)}
}

// fresh may be called concurrently with the other methods.
func (f *freshness) fresh(now time.Time) bool {
	expiry := f.expiry.Load()
	return expiry != nil && now.Before(*expiry)
}

func (f *freshness) setLoaded() {
	f.loaded = true
	f.updateExpiry()
}

func (f *freshness) setQuorumPeers(peers int) {
	f.options.Peers = max(peers, 1)
	f.updateExpiry()
}

func (f *freshness) removePeer(peer string) {
	delete(f.peers, peer)
	f.updateExpiry()
}

// confirmByStore records a reply of the table service to a request that was sent
// at the given time.
func (f *freshness) confirmByStore(sent time.Time) {
	f.recordStart(sent)
	f.recordStoreTime(sent)
	f.updateExpiry()
}

// recordStart records the send time of the first request.
func (f *freshness) recordStart(sent time.Time) {
	if f.started.IsZero() {
		f.started = sent
	}
}

// recordStoreTime records that all changes that the table service held at the
// given time are applied.
func (f *freshness) recordStoreTime(at time.Time) {
	if at.After(f.store) {
		f.store = at
	}
}

// confirmByPeer records a peer's reply to a request that was sent at the given
// time, and the time of the peer's last data from the table service.
func (f *freshness) confirmByPeer(s PeerState, sent time.Time) {
	if !s.Settled {
		return
	}
	f.recordStart(sent)
	if sent.After(f.peers[s.Peer]) {
		f.peers[s.Peer] = sent
	}
	if s.StoreReached {
		f.recordStoreTime(sent.Add(-s.StoreAge))
	}
	f.updateExpiry()
}

// storeAge reports whether the table service has confirmed the keys, directly or
// via a peer, and how long ago.
func (f *freshness) storeAge(now time.Time) (bool, time.Duration) {
	if f.store.IsZero() {
		return false, 0
	}
	return true, max(now.Sub(f.store), 0)
}

// updateExpiry recomputes and publishes the expiry.
func (f *freshness) updateExpiry() {
	if !f.loaded {
		return
	}
	quorum := f.quorumTime()
	f.updateSettled(quorum)
	confirmed := f.store
	if quorum.After(confirmed) {
		confirmed = quorum
	}
	if confirmed.IsZero() {
		f.expiry.Store(nil)
		return
	}
	expiry := confirmed.Add(f.options.Timeout)
	f.expiry.Store(&expiry)
}

// updateSettled records whether the keys were confirmed since the start. Data of
// the table service from before the start doesn't count, even if it is recent:
// this instance may have acknowledged a later change before it restarted.
func (f *freshness) updateSettled(quorum time.Time) {
	sinceStart := !f.store.IsZero() && !f.store.Before(f.started)
	f.settled = f.settled || sinceStart || !quorum.IsZero()
}

// quorumTime returns the oldest of the newest confirmations that make up a
// quorum of peers, or the zero time without a quorum.
func (f *freshness) quorumTime() time.Time {
	needed := f.options.Peers
	if !f.settled {
		needed++
	}
	if len(f.peers) < needed {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(f.peers))
	for _, t := range f.peers {
		times = append(times, t)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[needed-1]
}
