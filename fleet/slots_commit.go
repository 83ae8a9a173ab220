package fleet

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

// commit starts the transaction that makes a change and renews the session.
func (s *LeaseSlots) commit(now time.Time, c *change) *store.Txn {
	row := s.session
	row.Renewed = s.nextRenewal()
	s.attempts[row.Renewed] = now
	txn := c.txn(SessionKey(s.config.Self.Name), s.version, row)
	return s.startCommit(txn, func(version int64) {
		s.registered = true
		s.version = version
		s.session.Renewed = row.Renewed
		s.recordRenewal(row.Renewed)
		s.apply(c, version)
	})
}

func (s *LeaseSlots) nextRenewal() int64 {
	next := s.session.Renewed + 1
	for c := range s.attempts {
		next = max(next, c+1)
	}
	return next
}

func (s *LeaseSlots) apply(c *change, version int64) {
	if c.fencedInstance != "" {
		delete(s.sessions, c.fencedInstance)
	}
	for _, w := range c.slots {
		s.retiring[w.slot] = false
		if w.owner == (sessionID{}) {
			s.slots[w.slot] = slotState{}
			continue
		}
		s.slots[w.slot] = slotState{owner: w.owner, version: version}
	}
}

func (s *LeaseSlots) startCommit(txn *store.Txn, done func(version int64)) *store.Txn {
	s.requestCount++
	s.requestID = fmt.Sprintf("seats/%s/%x/%d", s.config.Self.Name, s.config.Epoch, s.requestCount)
	txn.RequestID = s.requestID
	s.op = opCommit
	s.onCommitted = done
	return txn
}

// Committed ends a transaction. Only a success updates the state at once; after
// any other outcome the next read shows whether the transaction took effect.
func (s *LeaseSlots) Committed(requestID string, version int64, err error, now time.Time) {
	if s.op != opCommit || requestID != s.requestID {
		return
	}
	s.op = opNone
	if err == nil {
		s.onCommitted(version)
		return
	}
	s.rowsFresh = false
	s.nextRead = now
	if !errors.Is(err, store.ErrConflict) {
		s.notBefore = now.Add(retryDelay)
	}
}
