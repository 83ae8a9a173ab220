package fleet

import (
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

// mergeSessions adds the instances of the session rows to the members, in case
// the platform's list lags, and updates how many slots each member holds.
func (f *Fleet) mergeSessions() {
	for _, m := range f.membership.members {
		m.hasSession = false
	}
	for name, w := range f.slots.sessions {
		if name == f.config.Self.Name {
			continue
		}
		in := store.Instance{Name: name, Address: w.row.Address, FailureDomain: w.row.FailureDomain}
		f.membership.add(in).hasSession = true
	}
	holders := f.slots.Holders()
	for _, m := range f.membership.members {
		m.slots = holders[m.instance.Name]
	}
	f.membersStale = true
}

// offer describes the slots that this instance can delegate.
func (f *Fleet) offer(now time.Time) Offer {
	return Offer{
		Slots: len(f.slots.Usable(now)),
		Until: f.slots.Until(),
		TTL:   f.delegationTTL(),
		Home:  f.membership.home,
	}
}

// readInterval is the time between two reads of the table rows.
func (f *Fleet) readInterval() time.Duration {
	interval := min(meshReadInterval, f.config.SlotTTL/renewalsPerTTL)
	if len(f.membership.members) <= MaxMeshMembers {
		return interval
	}
	return max(interval, f.exchangeInterval())
}

// startTableOperation requests the next read or commit. After a failed commit or
// one of unknown outcome the read comes first.
func (f *Fleet) startTableOperation(a *Actions, now time.Time) {
	if !f.slots.rowsFresh {
		a.ReadRows = f.slots.ReadDue(now)
	}
	a.Commit = f.slots.Next(f.currentPlan(), f.delegator.LastExpiry(), now)
	if a.Commit == nil && !a.ReadRows {
		a.ReadRows = f.slots.ReadDue(now)
	}
}

// currentPlan returns the slot plan for the fit members, recomputed if stale.
func (f *Fleet) currentPlan() slotPlan {
	if !f.planStale {
		return f.lastPlan
	}
	f.planStale = false
	f.lastPlan = planSlots(f.candidates())
	return f.lastPlan
}

// candidates returns the fit members, which may hold lease slots.
func (f *Fleet) candidates() []candidate {
	holders := f.slots.Holders()
	candidates := make([]candidate, 0, len(f.membership.members))
	for _, m := range f.membership.members {
		if !m.fit {
			continue
		}
		name := m.instance.Name
		candidates = append(candidates, candidate{
			name: name, domain: m.instance.FailureDomain, hash: m.hash, held: holders[name],
		})
	}
	return candidates
}
