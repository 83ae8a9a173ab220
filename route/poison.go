package route

import (
	"slices"
	"time"
)

const (
	// poisonUpstreams is how many different upstreams a request must crash to
	// count as poison, which is refused.
	poisonUpstreams = 2
	// poisonCrashes is how many crashes have the same effect where there is only
	// one upstream.
	poisonCrashes = 3
)

type (
	// Suspect is a request that was in flight on upstreams when they crashed.
	// Controllers exchange suspects, so that they are known fleet-wide.
	Suspect struct {
		Fingerprint uint64
		Strikes     []Strike
	}

	// Strike is one crash with the request in flight.
	Strike struct {
		Upstream string
		// Age is how long ago the crash was, by the sender's clock.
		Age time.Duration
		// Confirmed reports that the crash is proven, not only a broken connection.
		Confirmed bool
	}

	// suspicion is the table's entry of a suspect.
	suspicion struct {
		fingerprint uint64
		strikes     []strike
		lastAt      time.Time
	}

	// strike is one crash with the request in flight.
	strike struct {
		upstream  string
		at        time.Time
		confirmed bool
	}

	// suspects is the bounded table of suspects.
	suspects struct {
		maximum int
		rows    map[uint64]*suspicion
		// changed means that a request may have become poison.
		changed bool
	}
)

func newSuspects(maximum int) suspects {
	return suspects{maximum: max(maximum, 1), rows: make(map[uint64]*suspicion)}
}

// suspected reports whether the request has a strike.
func (s *suspects) suspected(fingerprint uint64) bool {
	return fingerprint != 0 && s.rows[fingerprint] != nil
}

// isPoison reports whether the request must be refused.
func (s *suspects) isPoison(fingerprint uint64) bool {
	row := s.rows[fingerprint]
	return row != nil && isPoisonous(row.strikes, true)
}

// mayBePoison reports whether the request would be poison if its unconfirmed
// strikes were confirmed; it doesn't run until that is known.
func (s *suspects) mayBePoison(fingerprint uint64) bool {
	row := s.rows[fingerprint]
	return row != nil && isPoisonous(row.strikes, false)
}

// hasStrike reports whether the request has a strike of the upstream.
func (s *suspects) hasStrike(fingerprint uint64, upstream string) bool {
	row := s.rows[fingerprint]
	return row != nil && slices.ContainsFunc(row.strikes, func(k strike) bool {
		return k.upstream == upstream
	})
}

func isPoisonous(strikes []strike, confirmedOnly bool) bool {
	crashes := 0
	upstreams := make([]string, 0, poisonCrashes)
	for _, k := range strikes {
		if confirmedOnly && !k.confirmed {
			continue
		}
		crashes++
		if !slices.Contains(upstreams, k.upstream) {
			upstreams = append(upstreams, k.upstream)
		}
	}
	return len(upstreams) >= poisonUpstreams || crashes >= poisonCrashes
}

// strike records that the request was in flight when the upstream crashed.
func (s *suspects) strike(fingerprint uint64, k strike) {
	if fingerprint == 0 {
		return
	}
	s.changed = true
	row := s.rows[fingerprint]
	if row == nil {
		s.evict()
		row = &suspicion{fingerprint: fingerprint}
		s.rows[fingerprint] = row
	}
	for i := range row.strikes {
		if row.strikes[i].upstream == k.upstream && row.strikes[i].at.Equal(k.at) {
			row.strikes[i].confirmed = row.strikes[i].confirmed || k.confirmed
			return
		}
	}
	row.strikes = append(row.strikes, k)
	if k.at.After(row.lastAt) {
		row.lastAt = k.at
	}
}

// evict removes the suspect with the oldest last crash if the table is full;
// poison requests are removed last.
func (s *suspects) evict() {
	if len(s.rows) < s.maximum {
		return
	}
	var oldest *suspicion
	for _, row := range s.rows {
		if oldest == nil || evictBefore(row, oldest) {
			oldest = row
		}
	}
	delete(s.rows, oldest.fingerprint)
}

func evictBefore(a, b *suspicion) bool {
	poisonA, poisonB := isPoisonous(a.strikes, true), isPoisonous(b.strikes, true)
	if poisonA != poisonB {
		return poisonB
	}
	if !a.lastAt.Equal(b.lastAt) {
		return a.lastAt.Before(b.lastAt)
	}
	return a.fingerprint < b.fingerprint
}

// clear removes a request's suspicion, for example when it completes.
func (s *suspects) clear(fingerprint uint64) { delete(s.rows, fingerprint) }

// confirm keeps the strikes of a crash if it happened and removes them if not.
func (s *suspects) confirm(upstream string, at time.Time, crashed bool) {
	s.changed = true
	for fingerprint, row := range s.rows {
		row.strikes = resolveStrikes(row.strikes, upstream, at, crashed)
		if len(row.strikes) == 0 {
			delete(s.rows, fingerprint)
		}
	}
}

func resolveStrikes(strikes []strike, upstream string, at time.Time, crashed bool) []strike {
	kept := strikes[:0]
	for _, k := range strikes {
		if k.upstream == upstream && k.at.Equal(at) {
			k.confirmed = k.confirmed || crashed
			if !k.confirmed {
				continue
			}
		}
		kept = append(kept, k)
	}
	return kept
}

// expire removes the suspects whose last crash is older than age.
func (s *suspects) expire(now time.Time, age time.Duration) {
	for fingerprint, row := range s.rows {
		if now.Sub(row.lastAt) > age {
			delete(s.rows, fingerprint)
		}
	}
}

// list returns the suspects by fingerprint, with ages instead of times.
func (s *suspects) list(now time.Time) []Suspect {
	out := make([]Suspect, 0, len(s.rows))
	for _, row := range s.rows {
		one := Suspect{Fingerprint: row.fingerprint}
		for _, k := range row.strikes {
			one.Strikes = append(one.Strikes, Strike{
				Upstream:  k.upstream,
				Age:       now.Sub(k.at),
				Confirmed: k.confirmed,
			})
		}
		out = append(out, one)
	}
	slices.SortFunc(out, func(a, b Suspect) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return out
}
