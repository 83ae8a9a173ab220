package fleet

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

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
