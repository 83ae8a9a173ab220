package limit

import "github.com/buckthorntide/buckthorntide/fleet"

const (
	// fullShare is the share that gives the whole grant.
	fullShare = fleet.LeaseSlotCount
	// slotNanosPerSecond is the share time, in slot nanoseconds, that the full
	// share accumulates in a second.
	slotNanosPerSecond = fullShare * 1e9
)

type (
	// Share maps a home's lease slots of a shard to its part of a grant, in
	// sixteenths. However the slots of a shard are divided among homes, the
	// shares must not sum to more than 16.
	Share interface {
		// Of returns the share for a number of slots.
		Of(slots int) int
	}

	// Majority gives the whole grant to the home with more than half of the
	// slots, so that slots which are lost or being moved cost nothing, and half
	// of the grant to a home with exactly half.
	Majority struct{}

	// Proportional divides the grant among homes in proportion to their slots.
	Proportional struct{}
)

// Of returns 16 for a majority, 8 for half of the slots, else 0. At most one
// home can have a majority, and the others then have less than half.
func (Majority) Of(slots int) int {
	switch {
	case slots >= fleet.MinExclusiveSlots:
		return fullShare
	case slots == fleet.MinExclusiveSlots-1:
		return fullShare / 2
	default:
		return 0
	}
}

// Of returns the number of slots, at most 16.
func (Proportional) Of(slots int) int { return min(slots, fullShare) }
