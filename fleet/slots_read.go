package fleet

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

// ReadFailed ends a read without rows.
func (s *LeaseSlots) ReadFailed(now time.Time) {
	if s.op != opRead {
		return
	}
	s.op = opNone
	s.readsSince = time.Time{}
	s.notBefore = now.Add(retryDelay)
}

// RowsRead ends a read. The rows are all rows of the two prefixes.
func (s *LeaseSlots) RowsRead(seats, sessions []store.Row, every time.Duration, now time.Time) {
	if s.op != opRead {
		return
	}
	s.op = opNone
	s.rowsFresh = true
	s.nextRead = now.Add(every)
	if s.readsSince.IsZero() {
		s.readsSince = now
	}
	s.readSessions(sessions, now)
	s.readSlots(seats)
	s.watchOrphans(now)
}

func (s *LeaseSlots) readSessions(rows []store.Row, now time.Time) {
	self := false
	seen := make(map[string]observedSession, len(rows))
	for _, row := range rows {
		var value SessionRow
		if json.Unmarshal(row.Value, &value) != nil {
			continue
		}
		name := strings.TrimPrefix(row.Key, SessionPrefix)
		if name == s.config.Self.Name {
			self = true
			s.readOwnSession(value, row.Version)
		}
		w := observedSession{row: value, version: row.Version, since: now}
		if last, ok := s.sessions[name]; ok && last.version == row.Version {
			w.since = last.since
		}
		seen[name] = w
	}
	s.sessions = seen
	if !self {
		s.loseSession(0)
	}
}

// readSelf settles what became of one's own writes.
func (s *LeaseSlots) readOwnSession(value SessionRow, version int64) {
	if !s.registered && s.attempts[value.Renewed].IsZero() || value.Epoch != s.session.Epoch {
		s.loseSession(version)
		return
	}
	s.registered = true
	s.version = version
	s.session.Renewed = value.Renewed
	s.recordRenewal(value.Renewed)
}

// renewedAt notes that the renewal of that counter took effect.
func (s *LeaseSlots) recordRenewal(counter int64) {
	if sent, ok := s.attempts[counter]; ok {
		s.lastRenewal = maxTime(s.lastRenewal, sent)
	}
	for c := range s.attempts {
		if c <= counter {
			delete(s.attempts, c)
		}
	}
}

// lose gives up the session: its row is gone or is another process's, in the
// given version.
func (s *LeaseSlots) loseSession(version int64) {
	if s.registered {
		s.session.Epoch++
		s.session.Renewed = 0
	}
	s.registered = false
	s.version = version
	s.lastRenewal = time.Time{}
	s.retiring = [SeatCount]bool{}
	clear(s.attempts)
}

func (s *LeaseSlots) readSlots(rows []store.Row) {
	s.slots = [SeatCount]slotState{}
	for _, row := range rows {
		var value SlotRow
		k, ok := slotNumber(row.Key)
		if !ok || json.Unmarshal(row.Value, &value) != nil {
			continue
		}
		s.slots[k] = slotState{owner: sessionID{instance: value.Instance, epoch: value.Epoch}, version: row.Version}
	}
	for k := range s.retiring {
		s.retiring[k] = s.retiring[k] && s.owns(k)
	}
}

func slotNumber(key string) (int, bool) {
	for k := range SeatCount {
		if SlotKey(k) == key {
			return k, true
		}
	}
	return 0, false
}

// watchOrphans times the owners of seats that have no session row.
func (s *LeaseSlots) watchOrphans(now time.Time) {
	seen := make(map[sessionID]time.Time)
	for k := range s.slots {
		owner := s.slots[k].owner
		if s.slots[k].version == 0 || s.hasRow(owner) {
			continue
		}
		seen[owner] = now
		if since, ok := s.orphans[owner]; ok {
			seen[owner] = since
		}
	}
	s.orphans = seen
}
