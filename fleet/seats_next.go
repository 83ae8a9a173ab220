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
