package fleet

import (
	"slices"
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
	interval := f.interval()
	if m.failures > 0 || m.failed {
		interval = f.config.HeartbeatInterval
	}
	m.nextProbe = now.Add(f.jitter(interval))
	m.probeOnce = false
	r := f.request(m.instance.Name, now)
	if m.seats == 0 {
		r.Shards = Bitmap{}
		r.Releases = nil
	}
	f.book.Sent(m.instance.Name, r.ID, now)
	f.pending[r.ID] = pendingExchange{peer: m.instance.Name, sent: now}
	f.traffic.sent(r.WireBytes())
	return Exchange{Peer: m.instance, Request: r}
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

// expire fails the exchanges that had no reply for too long.
func (f *Fleet) expire(now time.Time) {
	for id, p := range f.pending {
		if now.Sub(p.sent) >= exchangeTimeout {
			f.Failed(p.peer, id, now)
		}
	}
}

// handOver gives up the shards that have authority here and a home elsewhere.
func (f *Fleet) handOver(now time.Time) []Handover {
	var out []Handover
	for _, s := range f.book.heldShards().Shards() {
		home := f.membership.home(s)
		if home == f.config.Self.Name || home == "" || f.book.Of(s, now).Seats == 0 {
			continue
		}
		at := slices.IndexFunc(out, func(h Handover) bool { return h.To.Name == home })
		if at < 0 {
			at = len(out)
			out = append(out, Handover{ID: f.rng.Uint64() | 1, To: f.membership.byName[home].instance})
		}
		out[at].Shards.Set(s)
	}
	for _, h := range out {
		f.begin(h, now)
	}
	return out
}

// begin gives the shards of a handover up and remembers to tell the holders.
func (f *Fleet) begin(h Handover, now time.Time) {
	f.handovers = append(f.handovers, activeHandover{
		release: Release{Handover: h.ID, To: h.To.Name, Shards: h.Shards},
		acked:   f.book.Acked(),
		until:   now.Add(promised(f.ttl())),
	})
	f.book.Release(h.Shards, f.nextID+1, now)
}

// releases are the handovers as one holder must hear of them.
func (f *Fleet) releases(holder string, now time.Time) []Release {
	f.dropHandovers(now)
	own := f.membership.own
	var releases []Release
	for _, h := range f.handovers {
		r := h.release
		r.Acked = h.acked[holder]
		for i := range r.Shards {
			r.Shards[i] &^= own[i]
		}
		if !r.Shards.Empty() {
			releases = append(releases, r)
		}
	}
	return releases
}

func (f *Fleet) dropHandovers(now time.Time) {
	f.handovers = slices.DeleteFunc(f.handovers, func(h activeHandover) bool {
		return !now.Before(h.until)
	})
}

func (f *Fleet) jitter(d time.Duration) time.Duration {
	return d - time.Duration(f.rng.Int64N(int64(d)/jitterShare+1))
}
