package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

// MeshLimit is the largest fleet in which every instance exchanges with every
// other.
const MaxMeshMembers = 16

// membership judges which instances are fit to be homes. It only steers.
type membership struct {
	self              store.Instance
	heartbeatInterval time.Duration
	started           time.Time
	draining          bool
	// members are all known instances in the order of their names.
	members         []*member
	byName          map[string]*member
	excludedDomains []string
	homes           *homeTable
	// own are the shards that this instance is home of.
	own Bitmap
	// platformHeard and peerHeard are zero until something was heard.
	lastPlatformContact time.Time
	lastPeerContact     time.Time
}

func newMembership(self store.Instance, beat time.Duration, now time.Time) *membership {
	ms := &membership{self: self, heartbeatInterval: beat, started: now, byName: make(map[string]*member)}
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
	ms.shiftHomes(at)
	return m
}

// shift keeps the homes' indexes right after an insertion.
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

// listInstances takes the platform's list.
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

// heartbeat takes what a peer says of itself.
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

// suspect makes the named peers due for a check of one's own.
func (ms *membership) checkSuspects(names []string, now time.Time) {
	for _, name := range names {
		m := ms.byName[name]
		if m != nil && !m.failed && m.failures == 0 && now.Sub(m.lastAnswer) >= ms.heartbeatInterval {
			m.nextExchange = now
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
		ms.lastPeerContact = now
		m.recordSuccess(now)
		return
	}
	m.recordFailure(now)
	m.nextExchange = minTime(m.nextExchange, now.Add(retryProbeInterval))
}

// refresh judges all members and says whether the homes changed.
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

// refreshOne judges one member and says whether the homes changed.
func (ms *membership) refreshOne(name string, now time.Time) bool {
	m := ms.byName[name]
	if m == nil || !ms.refreshMember(m, now) {
		return false
	}
	ms.assignHomes()
	return true
}

// review judges a member and says whether its fitness changed.
func (ms *membership) refreshMember(m *member, now time.Time) bool {
	m.updateFailed(now)
	m.domainExcluded = slices.Contains(ms.excludedDomains, m.instance.FailureDomain)
	m.presumedReachable = len(ms.members) > MaxMeshMembers || now.Sub(ms.started) < answerTimeout
	fit := ms.isFit(m, now)
	changed := fit != m.fit
	m.fit = fit
	return changed
}

// assign gives every shard its home.
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

// forget drops the members that nothing speaks for any more.
func (ms *membership) forgetUnknown(now time.Time) {
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

func (ms *membership) computeOwnShards() Bitmap {
	var own Bitmap
	for s := range ShardCount {
		if ms.home(Shard(s)) == ms.self.Name {
			own.Set(Shard(s))
		}
	}
	return own
}

// isolatedAfter is when silence becomes isolation.
func (ms *membership) isolationTime(timeout time.Duration) time.Time {
	heard := maxTime(ms.lastPlatformContact, ms.lastPeerContact)
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
