package fleet

import "strconv"

const (
	// LeaseSlotPrefix is the key prefix of the lease slot rows.
	LeaseSlotPrefix = "seat/"
	// SessionPrefix is the key prefix of the session rows.
	SessionPrefix = "session/"
)

type (
	// SessionRow is the value of a row under SessionPrefix. The key ends with the
	// instance's name.
	SessionRow struct {
		// Epoch distinguishes the process from others of the same name.
		Epoch uint64 `json:"epoch,string"`
		// Renewed counts the renewals.
		Renewed int64 `json:"renewed"`
		// Address is the instance's address for peers.
		Address string `json:"address"`
		// FailureDomain is the failure domain of the instance.
		FailureDomain string `json:"failureDomain"`
	}

	// SlotRow is the value of a row under LeaseSlotPrefix. The key ends with the
	// slot's number. A slot without a row is free.
	SlotRow struct {
		// Instance is the holder's name.
		Instance string `json:"instance"`
		// Epoch is the epoch of the holder's session.
		Epoch uint64 `json:"epoch,string"`
	}
)

// SlotKey returns the key of a slot's row; the number has two digits.
func SlotKey(slot int) string {
	if slot < 10 {
		return LeaseSlotPrefix + "0" + strconv.Itoa(slot)
	}
	return LeaseSlotPrefix + strconv.Itoa(slot)
}

// SessionKey returns the key of an instance's session row.
func SessionKey(instance string) string { return SessionPrefix + instance }
