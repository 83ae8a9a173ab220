package fleet

import (
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

type (
	// Member is the state of an instance in a View.
	Member struct {
		Instance store.Instance `json:"instance"`
		// Fit reports that the instance may be a home.
		Fit bool `json:"fit"`
		// Leaving reports that the instance is draining.
		Leaving bool `json:"leaving,omitempty"`
		// Reachable reports that recent exchanges with the instance succeeded, or
		// that none was tried and it is presumed reachable.
		Reachable bool `json:"reachable"`
		// Slots is the number of lease slots that the instance holds, as it
		// reported or by the table rows, whichever is newer.
		Slots int `json:"seats,omitempty"`
	}

	// View is an immutable snapshot of the fleet for the request path.
	View struct {
		// Self is this instance.
		Self store.Instance
		// Members are all known instances, this one included, sorted by name.
		Members []Member
		// Draining reports that this instance is leaving.
		Draining bool
		// Slots are the numbers of the slots that this instance can delegate.
		Slots []int
		// SlotsUntil is when the slots expire unless they are renewed.
		SlotsUntil time.Time
		// IsolatedAfter is when this instance counts as isolated unless it has
		// contact with the platform or a peer before.
		IsolatedAfter time.Time

		homes     *homeTable
		authority *authorityTable
	}
)

// Home returns the home of the shard, or false if no instance is fit.
func (v *View) Home(s Shard) (store.Instance, bool) {
	i := v.homes[s]
	if i == noHome {
		return store.Instance{}, false
	}
	return v.Members[i].Instance, true
}

// IsHome reports whether this instance is the home of the shard.
func (v *View) IsHome(s Shard) bool {
	home, ok := v.Home(s)
	return ok && home.Name == v.Self.Name
}

// Authority returns this instance's authority over the shard at now. Call it
// right before each use, since authority can expire at any time.
func (v *View) Authority(s Shard, now time.Time) Authority {
	return v.authority.lookup(s).At(now)
}

// Isolated reports whether this instance had no contact with the platform or any
// peer for so long that it must stop serving.
func (v *View) Isolated(now time.Time) bool { return !now.Before(v.IsolatedAfter) }

// Member returns the member of that name, or false if it is unknown.
func (v *View) Member(name string) (Member, bool) {
	for _, m := range v.Members {
		if m.Instance.Name == name {
			return m, true
		}
	}
	return Member{}, false
}
