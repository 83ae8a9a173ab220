package budget

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// cancelledTTL is how long a cancelled reservation is remembered, in case its
	// request arrives later.
	cancelledTTL = 10 * time.Second
	// reservationTTL is the time after which a reservation counts as spent: it
	// exceeds any turn, so the asker has failed.
	reservationTTL = 10 * time.Minute
)

type (
	// desk holds the reservations that this instance's ledger made for others.
	desk struct {
		mu           sync.Mutex
		reservations map[string]reserved
		cancelled    map[string]time.Duration
		sweepAt      time.Duration
	}

	reserved struct {
		program   string
		maxTokens int
		at        time.Duration
	}
)

func newDesk() *desk {
	return &desk{reservations: make(map[string]reserved), cancelled: make(map[string]time.Duration)}
}

// add remembers a reservation. It returns false if it was cancelled before.
func (d *desk) add(id string, r reserved) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.cancelled[id]; ok {
		delete(d.cancelled, id)
		return false
	}
	d.reservations[id] = r
	return true
}

// end removes a reservation. One that isn't there is refused if it comes later.
func (d *desk) end(id string, now time.Duration) (reserved, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.reservations[id]
	if ok {
		delete(d.reservations, id)
		return r, true
	}
	d.cancelled[id] = now
	return reserved{}, false
}

// askers returns the holder names of the instances that have open reservations of the
// program.
func (d *desk) askers(program string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := make(map[string]bool)
	for id, r := range d.reservations {
		if asker := askerOf(id); asker != "" && r.program == program {
			found[asker] = true
		}
	}
	return slices.Collect(maps.Keys(found))
}

// expire removes and returns the reservations whose askers have failed, and forgets
// old cancelled ones.
func (d *desk) expire(now time.Duration) []reserved {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now < d.sweepAt {
		return nil
	}
	d.sweepAt = now + cancelledTTL
	for id, at := range d.cancelled {
		if now-at > cancelledTTL {
			delete(d.cancelled, id)
		}
	}
	var expired []reserved
	for id, r := range d.reservations {
		if now-r.at > reservationTTL {
			delete(d.reservations, id)
			expired = append(expired, r)
		}
	}
	return expired
}
