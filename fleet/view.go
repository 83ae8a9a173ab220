package fleet

import (
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

type (
	// Member is an instance as a View shows it.
	Member struct {
		Instance store.Instance `json:"instance"`
		// Fit says that the instance may be a home.
		Fit bool `json:"fit"`
		// Leaving says that the instance is draining.
		Leaving bool `json:"leaving,omitempty"`
		// Reachable says that recent exchanges with it succeeded or that none
		// was tried.
		Reachable bool `json:"reachable"`
		// Seats is the number of seats it says it holds.
		Slots int `json:"seats,omitempty"`
	}

	// View is what traffic reads of the fleet. It does not change once made.
	View struct {
		// Self is this instance.
		Self store.Instance
		// Members are all known instances, this one included, by name.
		Members []Member
		// Draining says that this instance is leaving.
		Draining bool
		// Seats are the numbers of the seats that this instance holds.
		Seats []int
		// SeatsUntil is when the seats lapse unless they are renewed.
		SlotsUntil time.Time
		// IsolatedAfter is when this instance counts as isolated unless it
		// hears the platform or a peer before.
		IsolatedAfter time.Time

		homes     *homeTable
		authority *authorityTable
	}
)

// Home returns the instance that is home of the shard; false if none is fit.
func (v *View) Home(s Shard) (store.Instance, bool) {
	i := v.homes[s]
	if i == noHome {
		return store.Instance{}, false
	}
	return v.Members[i].Instance, true
}

// IsHome says whether this instance is home of the shard.
func (v *View) IsHome(s Shard) bool {
	home, ok := v.Home(s)
	return ok && home.Name == v.Self.Name
}

// Authority returns this instance's authority over the shard at a moment. Ask
// for it right before each use.
func (v *View) Authority(s Shard, now time.Time) Authority {
	return v.authority.lookup(s).At(now)
}

// Isolated says whether neither the platform nor a peer was heard for so long
// that this instance must stop serving.
func (v *View) Isolated(now time.Time) bool { return !now.Before(v.IsolatedAfter) }

// Member returns the member of that name.
func (v *View) Member(name string) (Member, bool) {
	for _, m := range v.Members {
		if m.Instance.Name == name {
			return m, true
		}
	}
	return Member{}, false
}
