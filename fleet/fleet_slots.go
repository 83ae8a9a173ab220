package fleet

import (
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

// seeSessions takes members from the session rows, in case the list lags, and
// who holds seats.
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

// offer is what this instance has to delegate.
func (f *Fleet) offer(now time.Time) Offer {
	return Offer{
		Slots: len(f.slots.Usable(now)),
		Until: f.slots.Until(),
		TTL:   f.delegationTTL(),
		Home:  f.membership.home,
	}
}

// readEvery is the time between two reads of the rows.
func (f *Fleet) readInterval() time.Duration {
	every := min(meshReadInterval, f.config.SlotTTL/renewalsPerTTL)
	if len(f.membership.members) <= MaxMeshMembers {
		return every
	}
	return max(every, f.exchangeInterval())
}

// runSeats begins the next read or commit. After an outcome that is not known
// the read comes first.
func (f *Fleet) startTableOperation(a *Actions, now time.Time) {
	if !f.slots.rowsFresh {
		a.ReadRows = f.slots.ReadDue(now)
	}
	a.Commit = f.slots.Next(f.currentPlan(), f.delegator.LastExpiry(), now)
	if a.Commit == nil && !a.ReadRows {
		a.ReadRows = f.slots.ReadDue(now)
	}
}

// plan shares the seats out over the fit members.
func (f *Fleet) currentPlan() slotPlan {
	if !f.planStale {
		return f.lastPlan
	}
	f.planStale = false
	f.lastPlan = planSlots(f.candidates())
	return f.lastPlan
}

// candidates are the fit members.
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
