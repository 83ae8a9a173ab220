package fleet

import (
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

// seeSessions takes members from the session rows, in case the list lags, and
// who holds seats.
func (f *Fleet) seeSessions() {
	for _, m := range f.membership.members {
		m.seated = false
	}
	for name, w := range f.seats.sessions {
		if name == f.config.Self.Name {
			continue
		}
		in := store.Instance{Name: name, Address: w.row.Address, FailureDomain: w.row.FailureDomain}
		f.membership.add(in).seated = true
	}
	holders := f.seats.Holders()
	for _, m := range f.membership.members {
		m.seats = holders[m.instance.Name]
	}
	f.membersStale = true
}

// offer is what this instance has to delegate.
func (f *Fleet) offer(now time.Time) Offer {
	return Offer{
		Seats: len(f.seats.Usable(now)),
		Until: f.seats.Until(),
		TTL:   f.ttl(),
		Home:  f.membership.home,
	}
}

// readEvery is the time between two reads of the rows.
func (f *Fleet) readEvery() time.Duration {
	every := min(readInterval, f.config.SeatTTL/renewShare)
	if len(f.membership.members) <= MeshLimit {
		return every
	}
	return max(every, f.interval())
}

// runSeats begins the next read or commit. After an outcome that is not known
// the read comes first.
func (f *Fleet) runSeats(a *Actions, now time.Time) {
	if !f.seats.fresh {
		a.ReadRows = f.seats.ReadDue(now)
	}
	a.Commit = f.seats.Next(f.plan(), f.delegator.Latest(), now)
	if a.Commit == nil && !a.ReadRows {
		a.ReadRows = f.seats.ReadDue(now)
	}
}

// plan shares the seats out over the fit members.
func (f *Fleet) plan() seatPlan {
	if !f.planStale {
		return f.lastPlan
	}
	f.planStale = false
	f.lastPlan = planSeats(f.candidates())
	return f.lastPlan
}

// candidates are the fit members.
func (f *Fleet) candidates() []candidate {
	holders := f.seats.Holders()
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
