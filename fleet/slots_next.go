package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

// Next decides the next transaction, or returns nil. The time promised is when
// the last promise made so far lapses; a seat that begins to retire now is not
// given away before.
func (s *LeaseSlots) Next(plan slotPlan, promised, now time.Time) *store.Txn {
	s.markRetiring(plan, promised)
	if s.op != opNone || now.Before(s.notBefore) {
		return nil
	}
	if s.registered && !s.released && now.Sub(s.lastRenewal) >= s.config.SlotTTL/renewalsPerTTL {
		return s.commit(now, s.renewAndSweep(now))
	}
	if !s.rowsFresh {
		return nil
	}
	target := plan.targets[s.config.Self.Name]
	switch {
	case s.draining && s.registered && len(s.owned()) == 0:
		return s.unregister(now)
	case s.draining && !s.registered:
		s.released = true
		return nil
	case !s.registered && target > 0:
		return s.register(now)
	case !s.registered:
		return nil
	}
	if txn := s.reassignRetiring(plan, now); txn != nil {
		return txn
	}
	return s.claim(plan, target-len(s.owned()), now)
}

// retire marks surplus seats, which are no longer delegated from then on.
func (s *LeaseSlots) markRetiring(plan slotPlan, promised time.Time) {
	if !s.registered || !s.rowsFresh {
		return
	}
	surplus := len(s.owned()) - plan.targets[s.config.Self.Name]
	if s.draining {
		surplus = len(s.owned())
	}
	if !s.draining && s.neediest(plan) == "" {
		return
	}
	surplus = min(surplus, maxRetiring)
	for k := range s.retiring {
		if s.retiring[k] {
			surplus--
		}
	}
	for k := range s.slots {
		if surplus > 0 && s.owns(k) && !s.retiring[k] {
			s.retiring[k] = true
			s.retireAfter = maxTime(s.retireAfter, promised)
			surplus--
		}
	}
}

// neediest names the other instance with a session that lacks the most seats,
// or is empty.
func (s *LeaseSlots) neediest(plan slotPlan) string {
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
func (s *LeaseSlots) reassignRetiring(plan slotPlan, now time.Time) *store.Txn {
	change := s.newChange()
	holders := s.Holders()
	for k := range s.retiring {
		if !s.retiring[k] || !s.owns(k) {
			continue
		}
		if now.Before(s.retireAfter) {
			return nil
		}
		to := s.neediest(plan)
		if to == "" {
			change.free(k, s.slots[k])
			continue
		}
		w := s.sessions[to]
		change.require(SessionKey(to), w.version)
		change.assign(k, s.slots[k].version, sessionID{instance: to, epoch: w.row.Epoch})
		holders[to]++
		plan = plan.withOneLess(to)
	}
	if len(change.slots) == 0 {
		return nil
	}
	return s.commit(now, change)
}

// less returns a plan in which the instance's target is one less.
func (p slotPlan) withOneLess(name string) slotPlan {
	targets := make(map[string]int, len(p.targets))
	for n, t := range p.targets {
		targets[n] = t
	}
	targets[name]--
	return slotPlan{targets: targets}
}

// gain claims free seats and takes over those of a dead session, up to lacks.
// Those whose name sorts first have the first free seats, so that instances
// which see the same rows do not claim the same seats.
func (s *LeaseSlots) claim(plan slotPlan, lacks int, now time.Time) *store.Txn {
	if lacks <= 0 {
		return nil
	}
	change := s.newChange()
	self := sessionID{instance: s.config.Self.Name, epoch: s.session.Epoch}
	skip := s.claimedBefore(plan)
	for k := range s.slots {
		if s.slots[k].version != 0 {
			continue
		}
		if skip--; skip < 0 && lacks > 0 {
			change.assign(k, 0, self)
			lacks--
		}
	}
	if len(change.slots) > 0 {
		return s.commit(now, change)
	}
	return s.takeOverExpired(lacks, now)
}

// claimedBefore returns how many free seats fall to instances that sort first.
func (s *LeaseSlots) claimedBefore(plan slotPlan) int {
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
func (s *LeaseSlots) takeOverExpired(lacks int, now time.Time) *store.Txn {
	dead, ok := s.expiredSession(now)
	if !ok {
		return nil
	}
	change := s.newChange()
	// A session without a row can never renew again; one with a row is fenced.
	if s.hasRow(dead) {
		change.fenceSession(dead.instance, s.sessions[dead.instance].version)
	}
	self := sessionID{instance: s.config.Self.Name, epoch: s.session.Epoch}
	for k := range s.slots {
		switch {
		case s.slots[k].version == 0 || s.slots[k].owner != dead:
		case lacks > 0:
			change.assign(k, s.slots[k].version, self)
			lacks--
		default:
			change.free(k, s.slots[k])
		}
	}
	return s.commit(now, change)
}

// dead returns a session with seats that was unchanged for long enough, over
// reads that were not broken off lately.
func (s *LeaseSlots) expiredSession(now time.Time) (sessionID, bool) {
	if s.readsSince.IsZero() || now.Sub(s.readsSince) < s.config.SlotTTL/renewalsPerTTL+s.margin {
		return sessionID{}, false
	}
	for k := range s.slots {
		owner := s.slots[k].owner
		if s.slots[k].version == 0 || s.owns(k) {
			continue
		}
		since, orphan := s.orphans[owner]
		if !orphan {
			since = s.sessions[owner.instance].since
		}
		if now.Sub(since) >= s.config.SlotTTL+s.margin {
			return owner, true
		}
	}
	return sessionID{}, false
}

// sweep is a renewal that also deletes a dead session without seats.
func (s *LeaseSlots) renewAndSweep(now time.Time) *change {
	c := s.newChange()
	holders := s.Holders()
	for _, name := range slices.Sorted(maps.Keys(s.sessions)) {
		w := s.sessions[name]
		if name != s.config.Self.Name && holders[name] == 0 && now.Sub(w.since) >= 2*s.config.SlotTTL {
			c.fenceSession(name, w.version)
			return c
		}
	}
	return c
}

// register writes the session's row, over that of an earlier process if there
// is one.
func (s *LeaseSlots) register(now time.Time) *store.Txn {
	return s.commit(now, s.newChange())
}

// unregister deletes the session's row at the end of a drain.
func (s *LeaseSlots) unregister(now time.Time) *store.Txn {
	txn := &store.Txn{
		Conditions: []store.Condition{{Key: SessionKey(s.config.Self.Name), Version: s.version}},
		Writes:     []store.Write{{Key: SessionKey(s.config.Self.Name), Delete: true}},
	}
	return s.startCommit(txn, func(int64) {
		s.loseSession(0)
		s.released = true
	})
}
