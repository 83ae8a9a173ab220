package fleet

import "time"

const (
	// renewalsPerTTL is how many times a session is renewed in a SlotTTL.
	renewalsPerTTL = 6
	// marginDivisor gives the margin as a fraction of SlotTTL, by which a holder
	// stops earlier and others wait longer. It covers clocks that run at
	// different speeds.
	marginDivisor = 30
	// maxRetiring bounds the slots that are given away at once, so that a
	// majority stays in use.
	maxRetiring = 6
	// retryDelay is the wait after a failed operation.
	retryDelay = 500 * time.Millisecond
)

const (
	opNone operation = iota
	opRead
	opCommit
)

type (
	operation uint8

	// sessionID identifies the session of one process.
	sessionID struct {
		instance string
		epoch    uint64
	}

	// observedSession is the session of an instance as it was last read.
	observedSession struct {
		row     SessionRow
		version int64
		// since is when this version was first read.
		since time.Time
	}

	// slotState is a slot's row as it was last read or written. Version zero
	// means that there is no row.
	slotState struct {
		owner   sessionID
		version int64
	}

	// LeaseSlots manages the lease slots of one instance. It decides the next
	// transaction from the rows read last and from the time. One operation runs
	// at a time, so its state is never older than its own last write.
	//
	// An instance uses its slots until SlotTTL minus a margin after the send time
	// of its last successful renewal. Another instance takes over the slots of a
	// session whose row it observed unchanged for SlotTTL plus the margin, on
	// condition that the row's version is still the same. The transaction deletes
	// the row, which fences the old holder's next renewal.
	LeaseSlots struct {
		config Config
		margin time.Duration

		session    SessionRow
		version    int64
		registered bool
		// lastRenewal is the send time of the last successful renewal.
		lastRenewal time.Time
		// attempts holds the send times of unconfirmed renewals by their counter.
		attempts map[int64]time.Time

		slots    [LeaseSlotCount]slotState
		retiring [LeaseSlotCount]bool
		// retireAfter is when the last promise that includes a retiring slot
		// expires.
		retireAfter time.Time
		sessions    map[string]observedSession
		orphans     map[sessionID]time.Time
		// readsSince is when the current unbroken series of reads began.
		readsSince time.Time
		nextRead   time.Time
		rowsFresh  bool

		op           operation
		requestID    string
		requestCount uint64
		notBefore    time.Time
		onCommitted  func(version int64)
		draining     bool
		released     bool
	}
)

// NewLeaseSlots returns the state of a process without a session or slots.
func NewLeaseSlots(c Config) *LeaseSlots {
	return &LeaseSlots{
		config:   c,
		margin:   c.SlotTTL / marginDivisor,
		session:  SessionRow{Epoch: c.Epoch, Address: c.Self.Address, FailureDomain: c.Self.FailureDomain},
		attempts: make(map[int64]time.Time),
		sessions: make(map[string]observedSession),
		orphans:  make(map[sessionID]time.Time),
	}
}

// Until returns when this instance's slots expire unless they are renewed.
func (s *LeaseSlots) Until() time.Time {
	if !s.registered || s.lastRenewal.IsZero() {
		return time.Time{}
	}
	return s.lastRenewal.Add(s.config.SlotTTL - s.margin)
}

// Usable returns the numbers of the slots that may be delegated at now.
func (s *LeaseSlots) Usable(now time.Time) []int {
	if !now.Before(s.Until()) {
		return nil
	}
	var held []int
	for k := range s.slots {
		if s.owns(k) && !s.retiring[k] {
			held = append(held, k)
		}
	}
	return held
}

// Holders returns how many slots each instance holds by the rows last read.
func (s *LeaseSlots) Holders() map[string]int {
	holders := make(map[string]int, LeaseSlotCount)
	for k := range s.slots {
		if owner := s.slots[k].owner; s.slots[k].version != 0 && owner.epoch != 0 {
			holders[owner.instance]++
		}
	}
	return holders
}

// Drain makes the instance give its slots to others and end its session.
func (s *LeaseSlots) Drain() { s.draining = true }

// Released reports whether a drain has given all slots away.
func (s *LeaseSlots) Released() bool { return s.released }

// ReadDue reports whether the rows must be read now; if so, the read counts as
// started. A read is due only while no other operation runs.
func (s *LeaseSlots) ReadDue(now time.Time) bool {
	if s.op != opNone || now.Before(s.notBefore) || now.Before(s.nextRead) {
		return false
	}
	s.op = opRead
	return true
}

// hasRow reports whether the session has a row in the table.
func (s *LeaseSlots) hasRow(id sessionID) bool {
	w, ok := s.sessions[id.instance]
	return ok && w.row.Epoch == id.epoch
}

func (s *LeaseSlots) owns(k int) bool {
	return s.registered && s.slots[k].version != 0 &&
		s.slots[k].owner == sessionID{instance: s.config.Self.Name, epoch: s.session.Epoch}
}

func (s *LeaseSlots) owned() []int {
	var held []int
	for k := range s.slots {
		if s.owns(k) {
			held = append(held, k)
		}
	}
	return held
}
