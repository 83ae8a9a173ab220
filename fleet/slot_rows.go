package fleet

import "strconv"

const (
	// SeatPrefix begins the keys of the rows of seats.
	SeatPrefix = "seat/"
	// SessionPrefix begins the keys of the rows of sessions.
	SessionPrefix = "session/"
)

type (
	// SessionRow is the value of a row under SessionPrefix. The rest of the key
	// is the instance's name.
	SessionRow struct {
		// Epoch tells the process from others of the same name.
		Epoch uint64 `json:"epoch,string"`
		// Renewed rises with each renewal.
		Renewed int64 `json:"renewed"`
		// Address is where peers reach the instance.
		Address string `json:"address"`
		// FailureDomain is the instance's.
		FailureDomain string `json:"failureDomain"`
	}

	// SeatRow is the value of a row under SeatPrefix. The rest of the key is
	// the seat's number. A seat without a row is free.
	SlotRow struct {
		// Instance is the holder's name.
		Instance string `json:"instance"`
		// Epoch is the holder's.
		Epoch uint64 `json:"epoch,string"`
	}
)

// SeatKey returns the key of a seat's row.
func SlotKey(seat int) string {
	if seat < 10 {
		return SeatPrefix + "0" + strconv.Itoa(seat)
	}
	return SeatPrefix + strconv.Itoa(seat)
}

// SessionKey returns the key of an instance's session row.
func SessionKey(instance string) string { return SessionPrefix + instance }
