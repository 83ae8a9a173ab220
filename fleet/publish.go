package fleet

import "time"

// publish makes a new View. Parts that did not change are shared with the last
// one.
func (f *Fleet) publish(now time.Time) {
	if f.membersStale || f.viewHomes != f.membership.homes {
		f.viewMembers = f.describe(now)
		f.viewHomes = f.membership.homes
		f.membersStale = false
	}
	if f.viewAuthority == nil || f.book.stale {
		f.viewAuthority = f.book.snapshot()
		f.book.stale = false
	}
	f.view = &View{
		Self:          f.config.Self,
		Members:       f.viewMembers,
		Draining:      f.draining,
		Seats:         f.seats.Usable(now),
		SeatsUntil:    f.seats.Until(),
		IsolatedAfter: f.membership.isolatedAfter(f.config.IsolationTimeout),
		homes:         f.viewHomes,
		authority:     f.viewAuthority,
	}
}

// describe lists the members as a View shows them.
func (f *Fleet) describe(now time.Time) []Member {
	members := make([]Member, 0, len(f.membership.members))
	for _, m := range f.membership.members {
		self := m.instance.Name == f.config.Self.Name
		d := Member{
			Instance:  m.instance,
			Fit:       m.fit,
			Leaving:   m.leaving(now),
			Reachable: self || m.reachable(),
			Seats:     m.seats,
		}
		if self {
			d.Leaving = f.draining
			d.Seats = len(f.seats.Usable(now))
		}
		members = append(members, d)
	}
	return members
}
