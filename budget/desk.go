package budget

import (
	"sync"
	"time"
)

// cancelledTTL is how long a cancelled reservation is remembered, in case its
// request arrives later.
const cancelledTTL = 10 * time.Second

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
	if now >= d.sweepAt {
		d.sweepAt = now + cancelledTTL
		for other, at := range d.cancelled {
			if now-at > cancelledTTL {
				delete(d.cancelled, other)
			}
		}
	}
	d.cancelled[id] = now
	return reserved{}, false
}
