package fleet

import "time"

const (
	// renewShare is how many times a session is renewed in a SeatTTL.
	renewalsPerTTL = 6
	// seatMarginShare is the share of a SeatTTL, as a divisor, by which a holder
	// stops early and others wait longer. It covers clocks that run at different
	// speeds.
	marginDivisor = 30
	// retireBatch is the most seats that are given away at once, so that a
	// majority stays in use.
	maxRetiring = 6
	// retryAfter is how long a failed operation waits.
	retryDelay = 500 * time.Millisecond
)

const (
	opNone operation = iota
	opRead
	opCommit
)

type (
	operation uint8

	// sessionID names one process's session.
	sessionID struct {
		instance string
		epoch    uint64
	}

	// watched is a session of another instance as it was last read.
	observedSession struct {
		row     SessionRow
		version int64
		// since is when this version was first read.
		since time.Time
	}

	// seat is a seat's row as it was last read or written.
	slotState struct {
		owner   sessionID
		version int64
	}

	// Seats is one instance's part in sharing out the seats. It decides the next
	// transaction from the rows it read last and from the time; one operation
	// runs at a time, so what it knows is never older than its own last write.
	//
	// A seat is used only until the send time of the last renewal that
	// succeeded, plus SeatTTL, less a margin. A watcher takes the seats of a
	// session whose row it saw unchanged for SeatTTL plus the margin, under the
	// condition that the row's version is still the same; the transaction
	// deletes the row, which fences the old holder's next renewal.
	LeaseSlots struct {
		config Config
		margin time.Duration

		session    SessionRow
		version    int64
		registered bool
		// renewed is when the last renewal that succeeded was sent.
		lastRenewal time.Time
		// attempts holds the send times of renewals by their counter.
		attempts map[int64]time.Time

		slots    [SeatCount]slotState
		retiring [SeatCount]bool
		// retireAt is when the last promise that counted a retiring seat lapses.
		retireAfter time.Time
		sessions    map[string]observedSession
		orphans     map[sessionID]time.Time
		// readsSince is when an unbroken run of reads began.
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

// NewSeats returns the seats as a fresh process knows them.
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

// Until returns when this instance's seats lapse unless they are renewed.
func (s *LeaseSlots) Until() time.Time {
	if !s.registered || s.lastRenewal.IsZero() {
		return time.Time{}
	}
	return s.lastRenewal.Add(s.config.SlotTTL - s.margin)
}

// Usable returns the seats that may be delegated at a moment.
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

// Holders returns the instances that hold seats, by the rows last read.
func (s *LeaseSlots) Holders() map[string]int {
	holders := make(map[string]int, SeatCount)
	for k := range s.slots {
		if owner := s.slots[k].owner; s.slots[k].version != 0 && owner.epoch != 0 {
			holders[owner.instance]++
		}
	}
	return holders
}

// Drain makes the seats go to others.
func (s *LeaseSlots) Drain() { s.draining = true }

// Released says that a drain gave all seats away.
func (s *LeaseSlots) Released() bool { return s.released }

// ReadDue begins a read if one is due and nothing else runs.
func (s *LeaseSlots) ReadDue(now time.Time) bool {
	if s.op != opNone || now.Before(s.notBefore) || now.Before(s.nextRead) {
		return false
	}
	s.op = opRead
	return true
}

// live says that the session has a row.
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
