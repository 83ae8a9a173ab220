package fleet

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

// ReadFailed ends a failed read, which interrupts the series of reads.
func (s *LeaseSlots) ReadFailed(now time.Time) {
	if s.op != opRead {
		return
	}
	s.op = opNone
	s.readsSince = time.Time{}
	s.notBefore = now.Add(retryDelay)
}

// RowsRead ends a successful read with all rows of the two prefixes. The next
// read is due after the interval.
func (s *LeaseSlots) RowsRead(slots, sessions []store.Row, interval time.Duration, now time.Time) {
	if s.op != opRead {
		return
	}
	s.op = opNone
	s.rowsFresh = true
	s.nextRead = now.Add(interval)
	if s.readsSince.IsZero() {
		s.readsSince = now
	}
	s.readSessions(sessions, now)
	s.readSlots(slots)
	s.watchOrphans(now)
}

func (s *LeaseSlots) readSessions(rows []store.Row, now time.Time) {
	registered := false
	seen := make(map[string]observedSession, len(rows))
	for _, row := range rows {
		var value SessionRow
		if json.Unmarshal(row.Value, &value) != nil {
			continue
		}
		name := strings.TrimPrefix(row.Key, SessionPrefix)
		if name == s.config.Self.Name {
			registered = true
			s.readOwnSession(value, row.Version)
		}
		w := observedSession{row: value, version: row.Version, since: now}
		if last, ok := s.sessions[name]; ok && last.version == row.Version {
			w.since = last.since
		}
		seen[name] = w
	}
	s.sessions = seen
	if !registered {
		s.loseSession(0)
	}
}

// readOwnSession derives the outcome of this process's own writes from its row.
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

// recordRenewal records that the renewal with that counter took effect.
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

// loseSession gives up the session, because its row was deleted (version 0) or
// belongs to another process, at that version.
func (s *LeaseSlots) loseSession(version int64) {
	if s.registered {
		s.session.Epoch++
		s.session.Renewed = 0
	}
	s.registered = false
	s.version = version
	s.lastRenewal = time.Time{}
	s.retiring = [LeaseSlotCount]bool{}
	clear(s.attempts)
}

func (s *LeaseSlots) readSlots(rows []store.Row) {
	s.slots = [LeaseSlotCount]slotState{}
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
	for k := range LeaseSlotCount {
		if SlotKey(k) == key {
			return k, true
		}
	}
	return 0, false
}

// watchOrphans records since when owners of slots have had no session row.
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
