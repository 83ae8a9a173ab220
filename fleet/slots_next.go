package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

// Next starts the next transaction that is due, or returns nil. A slot that
// begins to retire now is not given away before lastExpiry, when the last
// promise made so far expires.
func (s *LeaseSlots) Next(plan slotPlan, lastExpiry, now time.Time) *store.Txn {
	s.markRetiring(plan, lastExpiry)
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

// markRetiring marks surplus slots as retiring, which ends their delegation.
func (s *LeaseSlots) markRetiring(plan slotPlan, lastExpiry time.Time) {
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
			s.retireAfter = maxTime(s.retireAfter, lastExpiry)
			surplus--
		}
	}
}

// neediest returns the name of the other instance with a session that is the
// most slots short of its target, or "".
func (s *LeaseSlots) neediest(plan slotPlan) string {
	holders := s.Holders()
	name, maxMissing := "", 0
	for candidate, target := range plan.targets {
		_, live := s.sessions[candidate]
		missing := target - holders[candidate]
		if !live || candidate == s.config.Self.Name || missing <= 0 {
			continue
		}
		if missing > maxMissing || missing == maxMissing && candidate < name {
			name, maxMissing = candidate, missing
		}
	}
	return name
}

// reassignRetiring gives the retiring slots to instances that are short of
// slots, or frees them. It waits until no promise includes them.
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

// withOneLess returns a copy of the plan with the instance's target reduced by
// 1.
func (p slotPlan) withOneLess(name string) slotPlan {
	targets := make(map[string]int, len(p.targets))
	for n, t := range p.targets {
		targets[n] = t
	}
	targets[name]--
	return slotPlan{targets: targets}
}

// claim claims up to missing free slots or, if there are none to claim, takes
// over those of an expired session. Instances claim in the order of their
// names, so that instances which read the same rows do not claim the same
// slots.
func (s *LeaseSlots) claim(plan slotPlan, missing int, now time.Time) *store.Txn {
	if missing <= 0 {
		return nil
	}
	change := s.newChange()
	self := sessionID{instance: s.config.Self.Name, epoch: s.session.Epoch}
	skip := s.claimedBefore(plan)
	for k := range s.slots {
		if s.slots[k].version != 0 {
			continue
		}
		if skip--; skip < 0 && missing > 0 {
			change.assign(k, 0, self)
			missing--
		}
	}
	if len(change.slots) > 0 {
		return s.commit(now, change)
	}
	return s.takeOverExpired(missing, now)
}

// claimedBefore returns how many free slots are left to the instances whose
// names sort before this one's.
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

// takeOverExpired claims up to missing slots of one expired session, frees its
// others and deletes its row.
func (s *LeaseSlots) takeOverExpired(missing int, now time.Time) *store.Txn {
	expired, ok := s.expiredSession(now)
	if !ok {
		return nil
	}
	change := s.newChange()
	// A session without a row cannot renew; one with a row must be fenced.
	if s.hasRow(expired) {
		change.fenceSession(expired.instance, s.sessions[expired.instance].version)
	}
	self := sessionID{instance: s.config.Self.Name, epoch: s.session.Epoch}
	for k := range s.slots {
		switch {
		case s.slots[k].version == 0 || s.slots[k].owner != expired:
		case missing > 0:
			change.assign(k, s.slots[k].version, self)
			missing--
		default:
			change.free(k, s.slots[k])
		}
	}
	return s.commit(now, change)
}

// expiredSession returns a session with slots that was observed unchanged for
// SlotTTL plus the margin. It returns none until reads have succeeded without a
// break for a renewal interval plus the margin.
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

// renewAndSweep returns a renewal that also deletes the row of an expired
// session without slots, if there is one.
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

// register writes this process's session row, over that of an earlier process of
// the same name if there is one.
func (s *LeaseSlots) register(now time.Time) *store.Txn {
	return s.commit(now, s.newChange())
}

// unregister deletes the session row at the end of a drain.
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
