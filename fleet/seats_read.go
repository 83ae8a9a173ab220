package fleet

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

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
