package fleet

import "time"

// Authority is what the lease slots that are delegated to a home allow it for
// a shard.
type Authority struct {
	// Slots is the number of slots that are delegated at least until Until.
	Slots int
	// Exclusive reports that the slots are more than half of all slots, so that
	// no other home has exclusive authority before Until.
	Exclusive bool
	// Until is when the authority expires, by this process's clock.
	Until time.Time
	// Since is when the current unbroken period of authority began.
	Since time.Time
	// Handover is the id of the planned handover that transferred HandedSlots,
	// or zero.
	Handover uint64
	// HandedSlots counts the slots that were transferred directly from the
	// previous home.
	HandedSlots int
}

// At returns the authority that is in force at now: none once it has expired.
func (a Authority) At(now time.Time) Authority {
	if !now.Before(a.Until) {
		return Authority{}
	}
	return a
}
