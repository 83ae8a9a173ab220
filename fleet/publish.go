package fleet

import "time"

// publish replaces the View. Unchanged parts are shared with the previous one.
func (f *Fleet) publish(now time.Time) {
	if f.membersStale || f.viewHomes != f.membership.homes {
		f.viewMembers = f.describeMembers(now)
		f.viewHomes = f.membership.homes
		f.membersStale = false
	}
	if f.viewAuthority == nil || f.delegations.snapshotStale {
		f.viewAuthority = f.delegations.snapshot()
		f.delegations.snapshotStale = false
	}
	f.view = &View{
		Self:          f.config.Self,
		Members:       f.viewMembers,
		Draining:      f.draining,
		Slots:         f.slots.Usable(now),
		SlotsUntil:    f.slots.Until(),
		IsolatedAfter: f.membership.isolationTime(f.config.IsolationTimeout),
		homes:         f.viewHomes,
		authority:     f.viewAuthority,
	}
}

// describeMembers returns the members in the form of a View.
func (f *Fleet) describeMembers(now time.Time) []Member {
	members := make([]Member, 0, len(f.membership.members))
	for _, m := range f.membership.members {
		self := m.instance.Name == f.config.Self.Name
		d := Member{
			Instance:  m.instance,
			Fit:       m.fit,
			Leaving:   m.leaving(now),
			Reachable: self || m.reachable(),
			Slots:     m.slots,
		}
		if self {
			d.Leaving = f.draining
			d.Slots = len(f.slots.Usable(now))
		}
		members = append(members, d)
	}
	return members
}
