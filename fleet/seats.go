package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// renewShare is how many times a session is renewed in a SeatTTL.
	renewShare = 6
	// seatMarginShare is the share of a SeatTTL, as a divisor, by which a holder
	// stops early and others wait longer. It covers clocks that run at different
	// speeds.
	seatMarginShare = 30
	// retireBatch is the most seats that are given away at once, so that a
	// majority stays in use.
	retireBatch = 6
	// retryAfter is how long a failed operation waits.
	retryAfter = 500 * time.Millisecond
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
	watched struct {
		row     SessionRow
		version int64
		// since is when this version was first read.
		since time.Time
	}

	// seat is a seat's row as it was last read or written.
	seat struct {
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
	Seats struct {
		config Config
		margin time.Duration

		session    SessionRow
		version    int64
		registered bool
		// renewed is when the last renewal that succeeded was sent.
		renewed time.Time
		// attempts holds the send times of renewals by their counter.
		attempts map[int64]time.Time

		seats    [SeatCount]seat
		retiring [SeatCount]bool
		// retireAt is when the last promise that counted a retiring seat lapses.
		retireAt time.Time
		sessions map[string]watched
		orphans  map[sessionID]time.Time
		// readsSince is when an unbroken run of reads began.
		readsSince time.Time
		lastRead   time.Time
		nextRead   time.Time
		fresh      bool

		op        operation
		requestID string
		requests  uint64
		notBefore time.Time
		pending   func(version int64)
		draining  bool
		released  bool
	}
)

// NewSeats returns the seats as a fresh process knows them.
func NewSeats(c Config) *Seats {
	return &Seats{
		config:   c,
		margin:   c.SeatTTL / seatMarginShare,
		session:  SessionRow{Epoch: c.Epoch, Address: c.Self.Address, FailureDomain: c.Self.FailureDomain},
		attempts: make(map[int64]time.Time),
		sessions: make(map[string]watched),
		orphans:  make(map[sessionID]time.Time),
	}
}

// Until returns when this instance's seats lapse unless they are renewed.
func (s *Seats) Until() time.Time {
	if !s.registered || s.renewed.IsZero() {
		return time.Time{}
	}
	return s.renewed.Add(s.config.SeatTTL - s.margin)
}

// Usable returns the seats that may be delegated at a moment.
func (s *Seats) Usable(now time.Time) []int {
	if !now.Before(s.Until()) {
		return nil
	}
	var held []int
	for k := range s.seats {
		if s.mine(k) && !s.retiring[k] {
			held = append(held, k)
		}
	}
	return held
}

// Holders returns the instances that hold seats, by the rows last read.
func (s *Seats) Holders() map[string]int {
	holders := make(map[string]int, SeatCount)
	for k := range s.seats {
		if owner := s.seats[k].owner; s.seats[k].version != 0 && owner.epoch != 0 {
			holders[owner.instance]++
		}
	}
	return holders
}

// Drain makes the seats go to others.
func (s *Seats) Drain() { s.draining = true }

// Released says that a drain gave all seats away.
func (s *Seats) Released() bool { return s.released }

// ReadDue begins a read if one is due and nothing else runs.
func (s *Seats) ReadDue(now time.Time) bool {
	if s.op != opNone || now.Before(s.notBefore) || now.Before(s.nextRead) {
		return false
	}
	s.op = opRead
	return true
}

// ReadFailed ends a read without rows.
func (s *Seats) ReadFailed(now time.Time) {
	if s.op != opRead {
		return
	}
	s.op = opNone
	s.readsSince = time.Time{}
	s.notBefore = now.Add(retryAfter)
}

// RowsRead ends a read. The rows are all rows of the two prefixes.
func (s *Seats) RowsRead(seats, sessions []store.Row, every time.Duration, now time.Time) {
	if s.op != opRead {
		return
	}
	s.op = opNone
	s.fresh = true
	s.nextRead = now.Add(every)
	if s.readsSince.IsZero() {
		s.readsSince = now
	}
	s.lastRead = now
	s.readSessions(sessions, now)
	s.readSeats(seats)
	s.watchOrphans(now)
}

func (s *Seats) readSessions(rows []store.Row, now time.Time) {
	self := false
	seen := make(map[string]watched, len(rows))
	for _, row := range rows {
		var value SessionRow
		if json.Unmarshal(row.Value, &value) != nil {
			continue
		}
		name := strings.TrimPrefix(row.Key, SessionPrefix)
		if name == s.config.Self.Name {
			self = true
			s.readSelf(value, row.Version)
		}
		w := watched{row: value, version: row.Version, since: now}
		if last, ok := s.sessions[name]; ok && last.version == row.Version {
			w.since = last.since
		}
		seen[name] = w
	}
	s.sessions = seen
	if !self {
		s.lose(0)
	}
}

// readSelf settles what became of one's own writes.
func (s *Seats) readSelf(value SessionRow, version int64) {
	if !s.registered && s.attempts[value.Renewed].IsZero() || value.Epoch != s.session.Epoch {
		s.lose(version)
		return
	}
	s.registered = true
	s.version = version
	s.session.Renewed = value.Renewed
	s.renewedAt(value.Renewed)
}

// renewedAt notes that the renewal of that counter took effect.
func (s *Seats) renewedAt(counter int64) {
	if sent, ok := s.attempts[counter]; ok {
		s.renewed = maxTime(s.renewed, sent)
	}
	for c := range s.attempts {
		if c <= counter {
			delete(s.attempts, c)
		}
	}
}

// lose gives up the session: its row is gone or is another process's, in the
// given version.
func (s *Seats) lose(version int64) {
	if s.registered {
		s.session.Epoch++
		s.session.Renewed = 0
	}
	s.registered = false
	s.version = version
	s.renewed = time.Time{}
	s.retiring = [SeatCount]bool{}
	clear(s.attempts)
}

func (s *Seats) readSeats(rows []store.Row) {
	s.seats = [SeatCount]seat{}
	for _, row := range rows {
		var value SeatRow
		k, ok := seatNumber(row.Key)
		if !ok || json.Unmarshal(row.Value, &value) != nil {
			continue
		}
		s.seats[k] = seat{owner: sessionID{instance: value.Instance, epoch: value.Epoch}, version: row.Version}
	}
	for k := range s.retiring {
		s.retiring[k] = s.retiring[k] && s.mine(k)
	}
}

func seatNumber(key string) (int, bool) {
	for k := range SeatCount {
		if SeatKey(k) == key {
			return k, true
		}
	}
	return 0, false
}

// watchOrphans times the owners of seats that have no session row.
func (s *Seats) watchOrphans(now time.Time) {
	seen := make(map[sessionID]time.Time)
	for k := range s.seats {
		owner := s.seats[k].owner
		if s.seats[k].version == 0 || s.live(owner) {
			continue
		}
		seen[owner] = now
		if since, ok := s.orphans[owner]; ok {
			seen[owner] = since
		}
	}
	s.orphans = seen
}

// live says that the session has a row.
func (s *Seats) live(id sessionID) bool {
	w, ok := s.sessions[id.instance]
	return ok && w.row.Epoch == id.epoch
}

func (s *Seats) mine(k int) bool {
	return s.registered && s.seats[k].version != 0 &&
		s.seats[k].owner == sessionID{instance: s.config.Self.Name, epoch: s.session.Epoch}
}

func (s *Seats) held() []int {
	var held []int
	for k := range s.seats {
		if s.mine(k) {
			held = append(held, k)
		}
	}
	return held
}

// Next decides the next transaction, or returns nil. The time promised is when
// the last promise made so far lapses; a seat that begins to retire now is not
// given away before.
func (s *Seats) Next(plan seatPlan, promised, now time.Time) *store.Txn {
	s.retire(plan, promised)
	if s.op != opNone || now.Before(s.notBefore) {
		return nil
	}
	if s.registered && !s.released && now.Sub(s.renewed) >= s.config.SeatTTL/renewShare {
		return s.commit(now, s.sweep(now))
	}
	if !s.fresh {
		return nil
	}
	target := plan.targets[s.config.Self.Name]
	switch {
	case s.draining && s.registered && len(s.held()) == 0:
		return s.unregister(now)
	case s.draining && !s.registered:
		s.released = true
		return nil
	case !s.registered && target > 0:
		return s.register(now)
	case !s.registered:
		return nil
	}
	if txn := s.give(plan, now); txn != nil {
		return txn
	}
	return s.gain(plan, target-len(s.held()), now)
}

// retire marks surplus seats, which are no longer delegated from then on.
func (s *Seats) retire(plan seatPlan, promised time.Time) {
	if !s.registered || !s.fresh {
		return
	}
	surplus := len(s.held()) - plan.targets[s.config.Self.Name]
	if s.draining {
		surplus = len(s.held())
	}
	if !s.draining && s.neediest(plan) == "" {
		return
	}
	surplus = min(surplus, retireBatch)
	for k := range s.retiring {
		if s.retiring[k] {
			surplus--
		}
	}
	for k := range s.seats {
		if surplus > 0 && s.mine(k) && !s.retiring[k] {
			s.retiring[k] = true
			s.retireAt = maxTime(s.retireAt, promised)
			surplus--
		}
	}
}

// neediest names the other instance with a session that lacks the most seats,
// or is empty.
func (s *Seats) neediest(plan seatPlan) string {
	holders := s.Holders()
	name, most := "", 0
	for candidate, target := range plan.targets {
		_, live := s.sessions[candidate]
		lacks := target - holders[candidate]
		if !live || candidate == s.config.Self.Name || lacks <= 0 {
			continue
		}
		if lacks > most || lacks == most && candidate < name {
			name, most = candidate, lacks
		}
	}
	return name
}

// give moves the retiring seats to those who lack seats, or frees them.
func (s *Seats) give(plan seatPlan, now time.Time) *store.Txn {
	change := s.renewal()
	holders := s.Holders()
	for k := range s.retiring {
		if !s.retiring[k] || !s.mine(k) {
			continue
		}
		if now.Before(s.retireAt) {
			return nil
		}
		to := s.neediest(plan)
		if to == "" {
			change.free(k, s.seats[k])
			continue
		}
		w := s.sessions[to]
		change.asks(SessionKey(to), w.version)
		change.seat(k, s.seats[k].version, sessionID{instance: to, epoch: w.row.Epoch})
		holders[to]++
		plan = plan.less(to)
	}
	if len(change.seats) == 0 {
		return nil
	}
	return s.commit(now, change)
}

// less returns a plan in which the instance's target is one less.
func (p seatPlan) less(name string) seatPlan {
	targets := make(map[string]int, len(p.targets))
	for n, t := range p.targets {
		targets[n] = t
	}
	targets[name]--
	return seatPlan{targets: targets}
}

// gain claims free seats and takes over those of a dead session, up to lacks.
// Those whose name sorts first have the first free seats, so that instances
// which see the same rows do not claim the same seats.
func (s *Seats) gain(plan seatPlan, lacks int, now time.Time) *store.Txn {
	if lacks <= 0 {
		return nil
	}
	change := s.renewal()
	self := sessionID{instance: s.config.Self.Name, epoch: s.session.Epoch}
	skip := s.claimedBefore(plan)
	for k := range s.seats {
		if s.seats[k].version != 0 {
			continue
		}
		if skip--; skip < 0 && lacks > 0 {
			change.seat(k, 0, self)
			lacks--
		}
	}
	if len(change.seats) > 0 {
		return s.commit(now, change)
	}
	return s.takeOver(lacks, now)
}

// claimedBefore returns how many free seats fall to instances that sort first.
func (s *Seats) claimedBefore(plan seatPlan) int {
	holders := s.Holders()
	n := 0
	for name, target := range plan.targets {
		if _, live := s.sessions[name]; live && name < s.config.Self.Name {
			n += max(target-holders[name], 0)
		}
	}
	return n
}

// takeOver moves the seats of one dead session and deletes its row.
func (s *Seats) takeOver(lacks int, now time.Time) *store.Txn {
	dead, ok := s.dead(now)
	if !ok {
		return nil
	}
	change := s.renewal()
	// A session without a row can never renew again; one with a row is fenced.
	if s.live(dead) {
		change.fences(dead.instance, s.sessions[dead.instance].version)
	}
	self := sessionID{instance: s.config.Self.Name, epoch: s.session.Epoch}
	for k := range s.seats {
		switch {
		case s.seats[k].version == 0 || s.seats[k].owner != dead:
		case lacks > 0:
			change.seat(k, s.seats[k].version, self)
			lacks--
		default:
			change.free(k, s.seats[k])
		}
	}
	return s.commit(now, change)
}

// dead returns a session with seats that was unchanged for long enough, over
// reads that were not broken off lately.
func (s *Seats) dead(now time.Time) (sessionID, bool) {
	if s.readsSince.IsZero() || now.Sub(s.readsSince) < s.config.SeatTTL/renewShare+s.margin {
		return sessionID{}, false
	}
	for k := range s.seats {
		owner := s.seats[k].owner
		if s.seats[k].version == 0 || s.mine(k) {
			continue
		}
		since, orphan := s.orphans[owner]
		if !orphan {
			since = s.sessions[owner.instance].since
		}
		if now.Sub(since) >= s.config.SeatTTL+s.margin {
			return owner, true
		}
	}
	return sessionID{}, false
}

// sweep is a renewal that also deletes a dead session without seats.
func (s *Seats) sweep(now time.Time) *change {
	c := s.renewal()
	holders := s.Holders()
	for _, name := range slices.Sorted(maps.Keys(s.sessions)) {
		w := s.sessions[name]
		if name != s.config.Self.Name && holders[name] == 0 && now.Sub(w.since) >= 2*s.config.SeatTTL {
			c.fences(name, w.version)
			return c
		}
	}
	return c
}

// register writes the session's row, over that of an earlier process if there
// is one.
func (s *Seats) register(now time.Time) *store.Txn {
	return s.commit(now, s.renewal())
}

// unregister deletes the session's row at the end of a drain.
func (s *Seats) unregister(now time.Time) *store.Txn {
	txn := &store.Txn{
		Conditions: []store.Condition{{Key: SessionKey(s.config.Self.Name), Version: s.version}},
		Writes:     []store.Write{{Key: SessionKey(s.config.Self.Name), Delete: true}},
	}
	return s.send(txn, func(int64) {
		s.lose(0)
		s.released = true
	})
}

// commit builds the transaction of a change, which renews the session as well.
func (s *Seats) commit(now time.Time, c *change) *store.Txn {
	row := s.session
	row.Renewed = s.nextCounter()
	s.attempts[row.Renewed] = now
	txn := c.txn(SessionKey(s.config.Self.Name), s.version, row)
	return s.send(txn, func(version int64) {
		s.registered = true
		s.version = version
		s.session.Renewed = row.Renewed
		s.renewedAt(row.Renewed)
		s.apply(c, version)
	})
}

func (s *Seats) nextCounter() int64 {
	next := s.session.Renewed + 1
	for c := range s.attempts {
		next = max(next, c+1)
	}
	return next
}

func (s *Seats) apply(c *change, version int64) {
	if c.fence != "" {
		delete(s.sessions, c.fence)
	}
	for _, w := range c.seats {
		s.retiring[w.seat] = false
		if w.owner == (sessionID{}) {
			s.seats[w.seat] = seat{}
			continue
		}
		s.seats[w.seat] = seat{owner: w.owner, version: version}
	}
}

func (s *Seats) send(txn *store.Txn, done func(version int64)) *store.Txn {
	s.requests++
	s.requestID = fmt.Sprintf("seats/%s/%x/%d", s.config.Self.Name, s.config.Epoch, s.requests)
	txn.RequestID = s.requestID
	s.op = opCommit
	s.pending = done
	return txn
}

// Committed ends a transaction. Only a success is taken at its word; any other
// outcome is settled by the next read.
func (s *Seats) Committed(requestID string, version int64, err error, now time.Time) {
	if s.op != opCommit || requestID != s.requestID {
		return
	}
	s.op = opNone
	if err == nil {
		s.pending(version)
		return
	}
	s.fresh = false
	s.nextRead = now
	if !errors.Is(err, store.ErrConflict) {
		s.notBefore = now.Add(retryAfter)
	}
}
