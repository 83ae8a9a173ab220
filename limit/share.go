package limit

import "github.com/buckthorntide/buckthorntide/fleet"

const (
	// fullShare is the share that is worth the whole grant.
	fullShare = fleet.SeatCount
	// seatNanosPerSecond is the seat nanoseconds of the full share in a second.
	slotNanosPerSecond = fullShare * 1e9
)

type (
	// Share says what part of a grant a number of seats is worth, in sixteenths.
	// Whatever way the seats of a shard are divided among homes, the shares must
	// not sum to more than 16.
	Share interface {
		// Of returns the share of a number of seats.
		Of(seats int) int
	}

	// Majority gives the whole grant to the home with more than half of the
	// seats, so that seats that are lost or on their way cost nothing, and half
	// of it to a home with exactly half.
	Majority struct{}

	// Proportional gives each home the part of the grant that its seats are of
	// all seats.
	Proportional struct{}
)

// Of returns 16 with a majority, 8 with half of the seats, else none: whatever
// the division, only one home has a majority and the rest is then below half.
func (Majority) Of(seats int) int {
	switch {
	case seats >= fleet.ExclusiveSeats:
		return fullShare
	case seats == fleet.ExclusiveSeats-1:
		return fullShare / 2
	default:
		return 0
	}
}

// Of returns the number of seats.
func (Proportional) Of(seats int) int { return min(seats, fullShare) }
