package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

// MeshLimit is the largest fleet in which every instance exchanges with every
// other.
const MeshLimit = 16

// membership judges which instances are fit to be homes. It only steers.
type membership struct {
	self     store.Instance
	beat     time.Duration
	started  time.Time
	draining bool
	// members are all known instances in the order of their names.
	members    []*member
	byName     map[string]*member
	domainsOut []string
	homes      *homes
	// own are the shards that this instance is home of.
	own Bitmap
	// platformHeard and peerHeard are zero until something was heard.
	platformHeard time.Time
	peerHeard     time.Time
}

func newMembership(self store.Instance, beat time.Duration, now time.Time) *membership {
	ms := &membership{self: self, beat: beat, started: now, byName: make(map[string]*member)}
	ms.add(self)
	ms.refresh(now)
	return ms
}

// add returns the member of that name and creates it if it is new.
func (ms *membership) add(in store.Instance) *member {
	if m := ms.byName[in.Name]; m != nil {
		m.update(in)
		return m
	}
	m := &member{instance: in, hash: hashName(in.Name)}
	m.instance.Leaving = false
	ms.byName[in.Name] = m
	at, _ := slices.BinarySearchFunc(ms.members, in.Name, func(m *member, name string) int {
		return strings.Compare(m.instance.Name, name)
	})
	ms.members = slices.Insert(ms.members, at, m)
	ms.shift(at)
	return m
}

// shift keeps the homes' indexes right after an insertion.
func (ms *membership) shift(at int) {
	if ms.homes == nil {
		return
	}
	moved := *ms.homes
	for s, i := range moved {
		if int(i) >= at {
			moved[s]++
		}
	}
	ms.homes = &moved
}

func (m *member) update(in store.Instance) {
	if in.Address != "" {
		m.instance.Address = in.Address
	}
	if in.FailureDomain != "" {
		m.instance.FailureDomain = in.FailureDomain
	}
}

// listInstances takes the platform's list.
func (ms *membership) listInstances(instances []store.Instance, now time.Time) {
	ms.platformHeard = now
	for _, m := range ms.members {
		m.listed = false
		m.listedLeaving = false
	}
	for _, in := range instances {
		if in.Name == ms.self.Name {
			continue
		}
		m := ms.add(in)
		m.listed = true
		m.listedLeaving = in.Leaving
	}
}

// heartbeat takes what a peer says of itself.
func (ms *membership) heartbeat(h Heartbeat, now time.Time) *member {
	if h.Instance.Name == ms.self.Name || h.Instance.Name == "" {
		return nil
	}
	ms.peerHeard = now
	m := ms.add(h.Instance)
	m.heard = now
	m.saidLeaving = h.Instance.Leaving
	m.seats = h.Seats
	ms.suspect(h.Suspects, now)
	return m
}

// suspect makes the named peers due for a check of one's own.
func (ms *membership) suspect(names []string, now time.Time) {
	for _, name := range names {
		m := ms.byName[name]
		if m != nil && !m.failed && m.failures == 0 && now.Sub(m.answered) >= ms.beat {
			m.nextProbe = now
			m.probeOnce = true
		}
	}
}

// suspects names the peers that failed, a few at most.
func (ms *membership) suspects() []string {
	const most = 4
	var names []string
	for _, m := range ms.members {
		if m.failed && m.known(m.failingSince) && len(names) < most {
			names = append(names, m.instance.Name)
		}
	}
	return names
}

// observe takes the outcome of a request to a peer.
func (ms *membership) observe(name string, ok bool, now time.Time) {
	m := ms.byName[name]
	if m == nil || name == ms.self.Name {
		return
	}
	if ok {
		ms.peerHeard = now
		m.answer(now)
		return
	}
	m.fail(now)
	m.nextProbe = minTime(m.nextProbe, now.Add(retryProbe))
}

// refresh judges all members and says whether the homes changed.
func (ms *membership) refresh(now time.Time) bool {
	ms.forget(now)
	changed := ms.homes == nil
	for _, m := range ms.members {
		changed = ms.review(m, now) || changed
	}
	if changed {
		ms.assign()
	}
	return changed
}

// refreshOne judges one member and says whether the homes changed.
func (ms *membership) refreshOne(name string, now time.Time) bool {
	m := ms.byName[name]
	if m == nil || !ms.review(m, now) {
		return false
	}
	ms.assign()
	return true
}

// review judges a member and says whether its fitness changed.
func (ms *membership) review(m *member, now time.Time) bool {
	m.judge(now)
	m.domainOut = slices.Contains(ms.domainsOut, m.instance.FailureDomain)
	m.presumable = len(ms.members) > MeshLimit || now.Sub(ms.started) < failAfter
	fit := ms.judgeFit(m, now)
	changed := fit != m.fit
	m.fit = fit
	return changed
}

// assign gives every shard its home.
func (ms *membership) assign() {
	ms.homes = rendezvous(ms.members)
	ms.own = ms.ownShards()
}

func (ms *membership) judgeFit(m *member, now time.Time) bool {
	if m.domainOut {
		return false
	}
	if m.instance.Name == ms.self.Name {
		return !ms.draining
	}
	return m.reachable() && !m.leaving(now)
}

// forget drops the members that nothing speaks for any more.
func (ms *membership) forget(now time.Time) {
	before := len(ms.members)
	ms.members = slices.DeleteFunc(ms.members, func(m *member) bool {
		gone := m.instance.Name != ms.self.Name && !m.known(now)
		if gone {
			delete(ms.byName, m.instance.Name)
		}
		return gone
	})
	if len(ms.members) != before {
		ms.homes = nil
	}
}

// home returns the name of the shard's home, or an empty name.
func (ms *membership) home(s Shard) string {
	if i := ms.homes[s]; i != noHome {
		return ms.members[i].instance.Name
	}
	return ""
}

func (ms *membership) ownShards() Bitmap {
	var own Bitmap
	for s := range ShardCount {
		if ms.home(Shard(s)) == ms.self.Name {
			own.Set(Shard(s))
		}
	}
	return own
}

// isolatedAfter is when silence becomes isolation.
func (ms *membership) isolatedAfter(timeout time.Duration) time.Time {
	heard := maxTime(ms.platformHeard, ms.peerHeard)
	if heard.IsZero() {
		return ms.started
	}
	return heard.Add(timeout)
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
