package fleet

import "time"

// Authority is what a home may do for a shard.
type Authority struct {
	// Seats is the number of seats that are delegated at least until Until.
	Seats int
	// Exclusive says that the seats are more than half of all seats, so that
	// no other home has exclusive authority before Until.
	Exclusive bool
	// Until is when the authority lapses, on this process's own clock.
	Until time.Time
	// Since is when the shard came to have authority without a break since.
	Since time.Time
	// Handover is the planned handover that HandedSeats came by, or zero.
	Handover uint64
	// HandedSeats counts the seats that came straight from the previous home.
	HandedSlots int
}

// At returns the authority as it holds at a moment: none once it has lapsed.
func (a Authority) At(now time.Time) Authority {
	if !now.Before(a.Until) {
		return Authority{}
	}
	return a
}
