package fleet

import (
	"time"
)

// dueExchanges starts the exchanges that are due.
func (f *Fleet) dueExchanges(now time.Time) []Exchange {
	var due []Exchange
	mesh := len(f.membership.members) <= MaxMeshMembers
	if !mesh {
		f.scheduleProbes(now)
	}
	pulls := !f.membership.own.Empty() || len(f.handovers) > 0
	for _, m := range f.membership.members {
		if m.instance.Name == f.config.Self.Name || now.Before(m.nextExchange) {
			continue
		}
		if mesh || m.exchangeDue(pulls) {
			due = append(due, f.startExchange(m, now))
		}
	}
	return due
}

// exchangeDue reports whether to exchange with a member although the fleet has
// no full mesh: with slot holders if this instance pulls, with members chosen
// for a probe, and with members that are failing or recovering.
func (m *member) exchangeDue(pulls bool) bool {
	failing := !m.failed && m.failures > 0
	recovering := m.failed && !m.answeringSince.IsZero()
	return pulls && m.slots > 0 || m.probeOnce || failing || recovering
}

// scheduleProbes picks a few members at random for a probe.
func (f *Fleet) scheduleProbes(now time.Time) {
	if now.Before(f.nextProbe) {
		return
	}
	f.nextProbe = now.Add(f.jitter(f.exchangeInterval()))
	n := len(f.membership.members)
	for range min(probesPerInterval, n) {
		f.probeCursor = (f.probeCursor + 1 + f.rng.IntN(n)) % n
		m := f.membership.members[f.probeCursor]
		m.probeOnce = true
		m.nextExchange = now
	}
}

func (f *Fleet) startExchange(m *member, now time.Time) Exchange {
	m.nextExchange = now.Add(f.jitter(f.intervalFor(m)))
	m.probeOnce = false
	r := f.newRequest(m.instance.Name, now)
	if m.slots > 0 {
		f.delegations.Sent(m.instance.Name, r.ID, now)
	} else {
		r.Shards = Bitmap{}
		r.Releases = nil
	}
	f.pending[r.ID] = pendingExchange{peer: m.instance.Name, sent: now}
	f.traffic.sent(r.WireBytes())
	return Exchange{Peer: m.instance, Request: r}
}

// intervalFor is the time until the next exchange with a member.
func (f *Fleet) intervalFor(m *member) time.Duration {
	switch {
	case m.failed:
		return f.config.HeartbeatInterval
	case m.failures > 0:
		return min(retryProbeInterval, f.config.HeartbeatInterval)
	default:
		return f.exchangeInterval()
	}
}

func (f *Fleet) newRequest(holder string, now time.Time) PullRequest {
	f.nextID++
	return PullRequest{
		ID:       f.nextID,
		From:     f.newHeartbeat(now),
		Shards:   f.membership.own,
		Releases: f.releasesFor(holder, now),
	}
}

// retryAfter brings the next exchange with a holder forward to when its promise
// to another home expires.
func (f *Fleet) retryAfter(holder string, after time.Duration, now time.Time) {
	m := f.membership.byName[holder]
	if after > 0 && m != nil {
		m.nextExchange = minTime(m.nextExchange, now.Add(after))
	}
}

// pullFromSelf delegates this instance's own slots to itself as a home.
func (f *Fleet) pullFromSelf(now time.Time) {
	if now.Before(f.nextSelfPull) {
		return
	}
	f.nextSelfPull = now.Add(f.exchangeInterval())
	self := f.config.Self.Name
	r := f.newRequest(self, now)
	f.delegations.Sent(self, r.ID, now)
	reply := f.delegator.HandlePull(r, f.offer(now), now)
	f.delegations.Received(self, reply, now)
	if reply.RetryAfter > 0 {
		f.nextSelfPull = minTime(f.nextSelfPull, now.Add(reply.RetryAfter))
	}
}

// scheduleAllPulls makes the exchanges with all slot holders due.
func (f *Fleet) scheduleAllPulls(now time.Time) {
	f.nextSelfPull = now
	for _, m := range f.membership.members {
		if m.slots > 0 {
			m.nextExchange = now
		}
	}
}

// expireExchanges records exchanges without a timely reply as failures. A late
// reply can still delegate, as its TTL starts when the request was sent.
func (f *Fleet) expireExchanges(now time.Time) {
	for id, p := range f.pending {
		if now.Sub(p.sent) >= exchangeTimeout {
			delete(f.pending, id)
			f.observe(p.peer, false, now)
		}
	}
}

func (f *Fleet) jitter(d time.Duration) time.Duration {
	return d - time.Duration(f.rng.Int64N(int64(d)/jitterDivisor+1))
}
