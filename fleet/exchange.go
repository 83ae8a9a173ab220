package fleet

import (
	"time"
)

// exchanges builds the requests that are due.
func (f *Fleet) exchanges(now time.Time) []Exchange {
	var due []Exchange
	mesh := len(f.membership.members) <= MeshLimit
	if !mesh {
		f.probe(now)
	}
	pulls := !f.membership.own.Empty() || len(f.handovers) > 0
	for _, m := range f.membership.members {
		if m.instance.Name == f.config.Self.Name || now.Before(m.nextProbe) {
			continue
		}
		if mesh || m.watched(pulls) {
			due = append(due, f.exchange(m, now))
		}
	}
	return due
}

// watched says that a member is exchanged with also where there is no mesh.
// Seat holders are, by those that pull from them.
func (m *member) watched(pulls bool) bool {
	failing := !m.failed && m.failures > 0
	returning := m.failed && !m.goodSince.IsZero()
	return pulls && m.seats > 0 || m.probeOnce || failing || returning
}

// probe picks the next few members in turn.
func (f *Fleet) probe(now time.Time) {
	if now.Before(f.nextProbe) {
		return
	}
	f.nextProbe = now.Add(f.jitter(f.interval()))
	n := len(f.membership.members)
	for range min(probesPerInterval, n) {
		f.cursor = (f.cursor + 1 + f.rng.IntN(n)) % n
		m := f.membership.members[f.cursor]
		m.probeOnce = true
		m.nextProbe = now
	}
}

func (f *Fleet) exchange(m *member, now time.Time) Exchange {
	m.nextProbe = now.Add(f.jitter(f.intervalTo(m)))
	m.probeOnce = false
	r := f.request(m.instance.Name, now)
	if m.seats > 0 {
		f.book.Sent(m.instance.Name, r.ID, now)
	} else {
		r.Shards = Bitmap{}
		r.Releases = nil
	}
	f.pending[r.ID] = pendingExchange{peer: m.instance.Name, sent: now}
	f.traffic.sent(r.WireBytes())
	return Exchange{Peer: m.instance, Request: r}
}

// intervalTo is the time until the next exchange with a member.
func (f *Fleet) intervalTo(m *member) time.Duration {
	switch {
	case m.failed:
		return f.config.HeartbeatInterval
	case m.failures > 0:
		return min(retryProbe, f.config.HeartbeatInterval)
	default:
		return f.interval()
	}
}

func (f *Fleet) request(holder string, now time.Time) PullRequest {
	f.nextID++
	return PullRequest{
		ID:       f.nextID,
		From:     f.heartbeat(now),
		Shards:   f.membership.own,
		Releases: f.releases(holder, now),
	}
}

// retry brings the next exchange with a holder forward to when a promise to
// another home lapses.
func (f *Fleet) retry(holder string, after time.Duration, now time.Time) {
	m := f.membership.byName[holder]
	if after > 0 && m != nil {
		m.nextProbe = minTime(m.nextProbe, now.Add(after))
	}
}

// exchangeSelf delegates this instance's own seats to itself as a home.
func (f *Fleet) exchangeSelf(now time.Time) {
	if now.Before(f.nextSelf) {
		return
	}
	f.nextSelf = now.Add(f.interval())
	self := f.config.Self.Name
	r := f.request(self, now)
	f.book.Sent(self, r.ID, now)
	reply := f.delegator.HandlePull(r, f.offer(now), now)
	f.book.Received(self, reply, now)
	if reply.RetryAfter > 0 {
		f.nextSelf = minTime(f.nextSelf, now.Add(reply.RetryAfter))
	}
}

// hurry makes the exchanges with all seat holders due.
func (f *Fleet) hurry(now time.Time) {
	f.nextSelf = now
	for _, m := range f.membership.members {
		if m.seats > 0 {
			m.nextProbe = now
		}
	}
}

// expire counts the exchanges that had no reply for too long as failures. What
// a late reply delegates still counts from when the request was sent.
func (f *Fleet) expire(now time.Time) {
	for id, p := range f.pending {
		if now.Sub(p.sent) >= exchangeTimeout {
			delete(f.pending, id)
			f.observe(p.peer, false, now)
		}
	}
}

func (f *Fleet) jitter(d time.Duration) time.Duration {
	return d - time.Duration(f.rng.Int64N(int64(d)/jitterShare+1))
}
