package keys

import (
	"slices"
	"sync/atomic"
	"time"
)

type (
	// Freshness says when an instance that hears nobody stops relying on what
	// it knows.
	Freshness struct {
		// Timeout is how long one hearing holds.
		Timeout time.Duration
		// Peers is how many peers must be heard while nobody hears the table
		// service; it is at least 1. With half of all instances, rounded down, a
		// withdrawal that a majority acknowledged is known to every instance that
		// is fresh; see Acks.
		Peers int
	}

	// freshness remembers who was heard when. The limit is read by traffic,
	// the rest belongs to the control thread.
	freshness struct {
		options Freshness
		loaded  bool
		// settled says that enough was heard since the start, which takes one peer
		// more: what this instance acknowledged before it started is forgotten.
		settled bool
		// started is the first time of sending; it is not before the start.
		started time.Time
		store   time.Time
		peers   map[string]time.Time
		// limit is when the keys stop being fresh; nil means that they are not.
		limit atomic.Pointer[time.Time]
	}
)

func newFreshness(options Freshness) *freshness {
	options.Peers = max(options.Peers, 1)
	return &freshness{options: options, peers: make(map[string]time.Time)}
}

// fresh may be called by traffic.
func (f *freshness) fresh(now time.Time) bool {
	limit := f.limit.Load()
	return limit != nil && now.Before(*limit)
}

func (f *freshness) load() {
	f.loaded = true
	f.publish()
}

func (f *freshness) want(peers int) {
	f.options.Peers = max(peers, 1)
	f.publish()
}

func (f *freshness) forget(peer string) {
	delete(f.peers, peer)
	f.publish()
}

// hearStore notes that the table service answered a request that was sent at
// the time sent.
func (f *freshness) hearStore(sent time.Time) {
	f.begin(sent)
	f.hearStoreAt(sent)
	f.publish()
}

// begin notes the first time of sending.
func (f *freshness) begin(sent time.Time) {
	if f.started.IsZero() {
		f.started = sent
	}
}

// hearStoreAt notes that everything is known that the table service held at
// the time at.
func (f *freshness) hearStoreAt(at time.Time) {
	if at.After(f.store) {
		f.store = at
	}
}

// hearPeer notes that a peer answered a request that was sent at the time sent,
// and whom it had heard.
func (f *freshness) hearPeer(s PeerState, sent time.Time) {
	if !s.Settled {
		return
	}
	f.begin(sent)
	if sent.After(f.peers[s.Peer]) {
		f.peers[s.Peer] = sent
	}
	if s.StoreHeard {
		f.hearStoreAt(sent.Add(-s.StoreAge))
	}
	f.publish()
}

// storeAge returns how long ago the table service was heard, if ever.
func (f *freshness) storeAge(now time.Time) (bool, time.Duration) {
	if f.store.IsZero() {
		return false, 0
	}
	return true, max(now.Sub(f.store), 0)
}

// publish works out the limit anew.
func (f *freshness) publish() {
	if !f.loaded {
		return
	}
	quorum := f.quorumHeard()
	f.settle(quorum)
	heard := f.store
	if quorum.After(heard) {
		heard = quorum
	}
	if heard.IsZero() {
		f.limit.Store(nil)
		return
	}
	limit := heard.Add(f.options.Timeout)
	f.limit.Store(&limit)
}

// settle notes that enough was heard since the start. What the table service
// held before the start doesn't count, however fresh it is: this instance may
// have acknowledged a later change before it restarted.
func (f *freshness) settle(quorum time.Time) {
	sinceStart := !f.store.IsZero() && !f.store.Before(f.started)
	f.settled = f.settled || sinceStart || !quorum.IsZero()
}

// quorumHeard returns since when enough peers have been heard: the time of the
// last one that is needed, newest first.
func (f *freshness) quorumHeard() time.Time {
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
