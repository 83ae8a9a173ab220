package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

// MaxMeshMembers is the largest fleet in which every instance exchanges with
// every other.
const MaxMeshMembers = 16

// membership decides which instances are fit to be homes. The result affects
// only the assignment of shards; safety rests on Authority.
type membership struct {
	self              store.Instance
	heartbeatInterval time.Duration
	started           time.Time
	draining          bool
	// members are all known instances, sorted by name.
	members         []*member
	byName          map[string]*member
	excludedDomains []string
	homes           *homeTable
	// own is the set of shards whose home is this instance.
	own Bitmap
	// lastPlatformContact and lastPeerContact are zero until the first contact.
	lastPlatformContact time.Time
	lastPeerContact     time.Time
}

func newMembership(self store.Instance, heartbeatInterval time.Duration, now time.Time) *membership {
	ms := &membership{self: self, heartbeatInterval: heartbeatInterval, started: now, byName: make(map[string]*member)}
	ms.add(self)
	ms.refresh(now)
	return ms
}

// add returns the member of that name; it creates a new one or updates the
// addresses of a known one.
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
	ms.shiftHomes(at)
	return m
}

// shiftHomes adjusts the indexes in homes after the insertion of a member.
func (ms *membership) shiftHomes(at int) {
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

// applyInstanceList applies the platform's list of instances.
func (ms *membership) applyInstanceList(instances []store.Instance, now time.Time) {
	ms.lastPlatformContact = now
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

// recordHeartbeat applies the state that a peer reported about itself.
func (ms *membership) recordHeartbeat(h Heartbeat, now time.Time) *member {
	if h.Instance.Name == ms.self.Name || h.Instance.Name == "" {
		return nil
	}
	ms.lastPeerContact = now
	m := ms.add(h.Instance)
	m.lastMessage = now
	m.reportedLeaving = h.Instance.Leaving
	m.slots = h.Slots
	ms.checkSuspects(h.Suspects, now)
	return m
}

// checkSuspects schedules probes of the peers that another peer suspects,
// unless they answered this instance within the heartbeat interval.
func (ms *membership) checkSuspects(names []string, now time.Time) {
	for _, name := range names {
		m := ms.byName[name]
		if m != nil && !m.failed && m.failures == 0 && now.Sub(m.lastAnswer) >= ms.heartbeatInterval {
			m.nextExchange = now
			m.probeOnce = true
		}
	}
}

// suspects returns the names of up to maxSuspects failed peers.
func (ms *membership) suspects() []string {
	const maxSuspects = 4
	var names []string
	for _, m := range ms.members {
		if m.failed && m.known(m.failingSince) && len(names) < maxSuspects {
			names = append(names, m.instance.Name)
		}
	}
	return names
}

// observe records the outcome of a request to a peer.
func (ms *membership) observe(name string, ok bool, now time.Time) {
	m := ms.byName[name]
	if m == nil || name == ms.self.Name {
		return
	}
	if ok {
		ms.lastPeerContact = now
		m.recordSuccess(now)
		return
	}
	m.recordFailure(now)
	m.nextExchange = minTime(m.nextExchange, now.Add(retryProbeInterval))
}

// refresh evaluates all members and reports whether the homes changed.
func (ms *membership) refresh(now time.Time) bool {
	ms.forgetUnknown(now)
	changed := ms.homes == nil
	for _, m := range ms.members {
		changed = ms.refreshMember(m, now) || changed
	}
	if changed {
		ms.assignHomes()
	}
	return changed
}

// refreshOne evaluates one member and reports whether the homes changed.
func (ms *membership) refreshOne(name string, now time.Time) bool {
	m := ms.byName[name]
	if m == nil || !ms.refreshMember(m, now) {
		return false
	}
	ms.assignHomes()
	return true
}

// refreshMember evaluates a member and reports whether its fitness changed.
func (ms *membership) refreshMember(m *member, now time.Time) bool {
	m.updateFailed(now)
	m.domainExcluded = slices.Contains(ms.excludedDomains, m.instance.FailureDomain)
	m.presumedReachable = len(ms.members) > MaxMeshMembers || now.Sub(ms.started) < answerTimeout
	fit := ms.isFit(m, now)
	changed := fit != m.fit
	m.fit = fit
	return changed
}

// assignHomes recomputes the home of every shard.
func (ms *membership) assignHomes() {
	ms.homes = rendezvous(ms.members)
	ms.own = ms.computeOwnShards()
}

func (ms *membership) isFit(m *member, now time.Time) bool {
	if m.domainExcluded {
		return false
	}
	if m.instance.Name == ms.self.Name {
		return !ms.draining
	}
	return m.reachable() && !m.leaving(now)
}

// forgetUnknown drops the members that are no longer known.
func (ms *membership) forgetUnknown(now time.Time) {
	before := len(ms.members)
	ms.members = slices.DeleteFunc(ms.members, func(m *member) bool {
		drop := m.instance.Name != ms.self.Name && !m.known(now)
		if drop {
			delete(ms.byName, m.instance.Name)
		}
		return drop
	})
	if len(ms.members) != before {
		ms.homes = nil
	}
}

// home returns the name of the shard's home, or "" if no member is fit.
func (ms *membership) home(s Shard) string {
	if i := ms.homes[s]; i != noHome {
		return ms.members[i].instance.Name
	}
	return ""
}

func (ms *membership) computeOwnShards() Bitmap {
	var own Bitmap
	for s := range ShardCount {
		if ms.home(Shard(s)) == ms.self.Name {
			own.Set(Shard(s))
		}
	}
	return own
}

// isolationTime returns when this instance counts as isolated unless it has
// contact with the platform or a peer before.
func (ms *membership) isolationTime(timeout time.Duration) time.Time {
	last := maxTime(ms.lastPlatformContact, ms.lastPeerContact)
	if last.IsZero() {
		return ms.started
	}
	return last.Add(timeout)
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
