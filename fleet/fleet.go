package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// ttlScalingMembers is the fleet size above which the delegation TTL grows in
	// proportion to the size, which bounds the traffic of a slot holder.
	ttlScalingMembers = 48
	// pullsPerTTL is how many times a delegation is extended in its TTL.
	pullsPerTTL = 3
	// guardDivisor gives the expiry guard of Delegations as a fraction of the
	// delegation TTL.
	guardDivisor = 6
	// probesPerInterval is how many members are probed in an exchange interval
	// of a fleet that is too large for a full mesh.
	probesPerInterval = 2
	// exchangeTimeout is the time after which an exchange without a reply counts
	// as failed.
	exchangeTimeout = 600 * time.Millisecond
	// meshReadInterval is the longest time between two reads of the table rows
	// in a full mesh.
	meshReadInterval = 2 * time.Second
	// refreshesPerHeartbeat is how often the fitness of all members is evaluated
	// in a heartbeat interval.
	refreshesPerHeartbeat = 5
	// jitterDivisor gives the maximum jitter as a fraction of an interval.
	jitterDivisor = 10
)

type (
	// Fleet combines the membership, the lease slots and the delegations of one
	// instance. It is not safe for concurrent use: one thread owns it.
	Fleet struct {
		config      Config
		rng         *rand.Rand
		membership  *membership
		slots       *LeaseSlots
		delegator   *Delegator
		delegations *Delegations

		nextID       uint64
		nextSelfPull time.Time
		nextProbe    time.Time
		nextRefresh  time.Time
		probeCursor  int
		pending      map[uint64]pendingExchange
		handovers    []activeHandover
		// homesChanged reports that shards got another home since the last tick.
		homesChanged bool
		draining     bool
		traffic      Traffic

		view          *View
		viewMembers   []Member
		viewHomes     *homeTable
		viewAuthority *authorityTable
		membersStale  bool
		lastPlan      slotPlan
		planStale     bool
	}

	pendingExchange struct {
		peer string
		sent time.Time
	}

	// activeHandover is a planned handover whose release is still sent to the
	// slot holders, because some of them may not have received it.
	activeHandover struct {
		release     Release
		acked       map[string]uint64
		resendUntil time.Time
	}
)

// NewFleet returns a fleet that knows only its own instance and holds nothing.
func NewFleet(c Config, now time.Time, rng *rand.Rand) *Fleet {
	f := &Fleet{
		config:       c,
		rng:          rng,
		membership:   newMembership(c.Self, c.HeartbeatInterval, now),
		slots:        NewLeaseSlots(c),
		delegator:    &Delegator{},
		delegations:  NewDelegations(c.DelegationTTL / guardDivisor),
		pending:      make(map[uint64]pendingExchange),
		membersStale: true,
		planStale:    true,
	}
	f.publish(now)
	return f
}

// Tick runs the work that is due and returns the actions that the caller must
// carry out. The caller reads now before the call and sends the exchanges and
// the commit after it.
func (f *Fleet) Tick(now time.Time) Actions {
	var a Actions
	f.expireExchanges(now)
	if !now.Before(f.nextRefresh) {
		f.nextRefresh = now.Add(f.config.HeartbeatInterval / refreshesPerHeartbeat)
		f.refresh(now)
	}
	f.delegations.Tick(now)
	a.HomesChanged = f.homesChanged
	f.homesChanged = false
	a.Handovers = f.startHandovers(now)
	if a.HomesChanged || len(a.Handovers) > 0 {
		f.scheduleAllPulls(now)
	}
	f.pullFromSelf(now)
	a.Exchanges = f.dueExchanges(now)
	f.startTableOperation(&a, now)
	a.Authority = f.authorityChanges(now)
	f.publish(now)
	return a
}

// View returns the current snapshot. Every method that takes a time replaces
// the snapshot.
func (f *Fleet) View() *View { return f.view }

// Traffic returns the messages and bytes of this instance's exchanges so far.
func (f *Fleet) Traffic() Traffic { return f.traffic }

// HandlePull answers a peer's request. The caller reads now after it has
// received the request.
func (f *Fleet) HandlePull(r PullRequest, now time.Time) PullReply {
	f.traffic.received(r.WireBytes())
	f.recordHeartbeat(r.From, now)
	f.refreshOne(r.From.Instance.Name, now)
	reply := f.delegator.HandlePull(r, f.offer(now), now)
	reply.From = f.newHeartbeat(now)
	f.traffic.sent(reply.WireBytes())
	f.publish(now)
	return reply
}

// Received applies a peer's reply to an exchange.
func (f *Fleet) Received(peer string, r PullReply, now time.Time) {
	f.traffic.received(r.WireBytes())
	delete(f.pending, r.ID)
	f.recordHeartbeat(r.From, now)
	f.observe(peer, true, now)
	f.delegations.Received(peer, r, now)
	f.retryAfter(peer, r.RetryAfter, now)
	f.refreshOne(peer, now)
	f.publish(now)
}

// Failed records that an exchange with a peer got no reply.
func (f *Fleet) Failed(peer string, id uint64, now time.Time) {
	f.delegations.Failed(peer, id)
	if _, ok := f.pending[id]; !ok {
		return
	}
	delete(f.pending, id)
	f.observe(peer, false, now)
}

// Observe records whether a call to a peer succeeded that was not an exchange.
func (f *Fleet) Observe(peer string, ok bool, now time.Time) {
	f.observe(peer, ok, now)
	f.refreshOne(peer, now)
	f.publish(now)
}

// PullNow makes the next tick exchange with all slot holders. Call it when the
// state of a planned handover has arrived.
func (f *Fleet) PullNow(now time.Time) { f.scheduleAllPulls(now) }

// ApplyInstances applies the platform's list of instances.
func (f *Fleet) ApplyInstances(instances []store.Instance, now time.Time) {
	f.membership.applyInstanceList(instances, now)
	f.membersStale = true
	f.refresh(now)
	f.publish(now)
}

// PlatformContacted records an answer of the platform to any other request, which
// counts against isolation.
func (f *Fleet) PlatformContacted(now time.Time) {
	f.membership.lastPlatformContact = now
	f.publish(now)
}

// SetExcludedDomains sets the failure domains whose instances are not fit, as the
// operators configured them.
func (f *Fleet) SetExcludedDomains(domains []string, now time.Time) {
	f.membership.excludedDomains = domains
	f.refresh(now)
	f.publish(now)
}

// RowsRead applies the rows that Actions.ReadRows asked for.
func (f *Fleet) RowsRead(slots, sessions []store.Row, now time.Time) {
	f.membership.lastPlatformContact = now
	f.slots.RowsRead(slots, sessions, f.readInterval(), now)
	f.mergeSessions()
	f.planStale = true
	f.refresh(now)
	f.publish(now)
}

// ReadFailed records that the read for Actions.ReadRows failed.
func (f *Fleet) ReadFailed(now time.Time) { f.slots.ReadFailed(now) }

// Committed applies the outcome of Actions.Commit: the version, or the error
// of store.Table.Commit.
func (f *Fleet) Committed(requestID string, version int64, err error, now time.Time) {
	if err == nil {
		f.membership.lastPlatformContact = now
	}
	f.slots.Committed(requestID, version, err, now)
	f.planStale = true
	f.publish(now)
}

// Drain begins a planned stop: shards are handed over and lease slots are given
// to other instances.
func (f *Fleet) Drain(now time.Time) {
	f.draining = true
	f.membership.draining = true
	f.slots.Drain()
	f.refresh(now)
	f.publish(now)
}

// Drained reports whether a drain is complete: no slot is held, no shard has
// authority, and the slot holders had time to receive the releases.
func (f *Fleet) Drained(now time.Time) bool {
	f.dropExpiredHandovers(now)
	return f.draining && f.slots.Released() && len(f.handovers) == 0 && f.delegations.HeldCount(now) == 0
}

// refresh evaluates the fitness of all members.
func (f *Fleet) refresh(now time.Time) {
	if f.membership.refresh(now) {
		f.markHomesChanged()
	}
}

func (f *Fleet) refreshOne(name string, now time.Time) {
	if f.membership.refreshOne(name, now) {
		f.markHomesChanged()
	}
}

func (f *Fleet) markHomesChanged() {
	f.homesChanged = true
	f.planStale = true
	f.membersStale = true
}

func (f *Fleet) recordHeartbeat(h Heartbeat, now time.Time) {
	known := f.membership.byName[h.Instance.Name]
	if known == nil || known.slots != h.Slots || known.reportedLeaving != h.Instance.Leaving {
		f.membersStale = true
	}
	f.membership.recordHeartbeat(h, now)
}

func (f *Fleet) observe(peer string, ok bool, now time.Time) {
	m := f.membership.byName[peer]
	if m != nil && (m.failures > 0) == ok {
		f.membersStale = true
	}
	f.membership.observe(peer, ok, now)
}

func (f *Fleet) newHeartbeat(now time.Time) Heartbeat {
	in := f.config.Self
	in.Leaving = f.draining
	return Heartbeat{
		Instance: in,
		Epoch:    f.config.Epoch,
		Slots:    len(f.slots.Usable(now)),
		Suspects: f.membership.suspects(),
	}
}

// delegationTTL is the TTL of a delegation in a fleet of this size.
func (f *Fleet) delegationTTL() time.Duration {
	n := len(f.membership.members)
	if n <= ttlScalingMembers {
		return f.config.DelegationTTL
	}
	return f.config.DelegationTTL * time.Duration(n) / ttlScalingMembers
}

// exchangeInterval is the time between two exchanges with a healthy peer.
func (f *Fleet) exchangeInterval() time.Duration {
	if len(f.membership.members) <= MaxMeshMembers {
		return f.config.HeartbeatInterval
	}
	return f.delegationTTL() / pullsPerTTL
}

// authorityChanges returns and clears the changes of authority.
func (f *Fleet) authorityChanges(now time.Time) []AuthorityChange {
	changed := f.delegations.TakeChanged()
	if changed.Empty() {
		return nil
	}
	changes := make([]AuthorityChange, 0, changed.Len())
	for _, s := range changed.Shards() {
		changes = append(changes, AuthorityChange{Shard: s, Authority: f.delegations.Authority(s, now)})
	}
	return changes
}
