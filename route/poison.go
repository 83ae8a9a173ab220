package route

import (
	"slices"
	"time"
)

const (
	// convictUpstreams is how many different upstreams a request must have
	// crashed to be refused from then on.
	convictUpstreams = 2
	// convictCrashes does the same where there is only one upstream.
	convictCrashes = 3
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
		// Confirmed says that the upstream itself showed that it had crashed.
		Confirmed bool
	}

	// suspicion is a suspect in the table.
	suspicion struct {
		fingerprint uint64
		strikes     []strike
		lastAt      time.Time
	}

	// strike is one crash of an upstream.
	strike struct {
		upstream  string
		at        time.Time
		confirmed bool
	}

	// suspects is the bounded table of suspects.
	suspects struct {
		maximum int
		rows    map[uint64]*suspicion
		// changed says that a request may have become convicted.
		changed bool
	}
)

func newSuspects(maximum int) suspects {
	return suspects{maximum: max(maximum, 1), rows: make(map[uint64]*suspicion)}
}

// suspected says that the request has a strike.
func (s *suspects) suspected(fingerprint uint64) bool {
	return fingerprint != 0 && s.rows[fingerprint] != nil
}

// convicted says that the request is to be refused.
func (s *suspects) convicted(fingerprint uint64) bool {
	row := s.rows[fingerprint]
	return row != nil && guilty(row.strikes, true)
}

// pending says that the request would be convicted if its unconfirmed strikes
// were confirmed; it doesn't run until that is known.
func (s *suspects) pending(fingerprint uint64) bool {
	row := s.rows[fingerprint]
	return row != nil && guilty(row.strikes, false)
}

// struck says that the request has a strike of the upstream.
func (s *suspects) struck(fingerprint uint64, upstream string) bool {
	row := s.rows[fingerprint]
	return row != nil && slices.ContainsFunc(row.strikes, func(k strike) bool {
		return k.upstream == upstream
	})
}

func guilty(strikes []strike, confirmedOnly bool) bool {
	crashes := 0
	upstreams := make([]string, 0, convictCrashes)
	for _, k := range strikes {
		if confirmedOnly && !k.confirmed {
			continue
		}
		crashes++
		if !slices.Contains(upstreams, k.upstream) {
			upstreams = append(upstreams, k.upstream)
		}
	}
	return len(upstreams) >= convictUpstreams || crashes >= convictCrashes
}

// strike notes that the request was in flight when the upstream crashed.
func (s *suspects) strike(fingerprint uint64, k strike) {
	if fingerprint == 0 {
		return
	}
	s.changed = true
	row := s.rows[fingerprint]
	if row == nil {
		s.makeRoom()
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

// makeRoom drops the oldest suspect that isn't convicted, or the oldest.
func (s *suspects) makeRoom() {
	if len(s.rows) < s.maximum {
		return
	}
	var victim *suspicion
	for _, row := range s.rows {
		if victim == nil || olderSuspicion(row, victim) {
			victim = row
		}
	}
	delete(s.rows, victim.fingerprint)
}

func olderSuspicion(a, b *suspicion) bool {
	guiltyA, guiltyB := guilty(a.strikes, true), guilty(b.strikes, true)
	if guiltyA != guiltyB {
		return guiltyB
	}
	if !a.lastAt.Equal(b.lastAt) {
		return a.lastAt.Before(b.lastAt)
	}
	return a.fingerprint < b.fingerprint
}

// clear exonerates a request, as when it completed.
func (s *suspects) clear(fingerprint uint64) { delete(s.rows, fingerprint) }

// confirm settles the strikes of a crash: they stay for good or go.
func (s *suspects) confirm(upstream string, at time.Time, crashed bool) {
	s.changed = true
	for fingerprint, row := range s.rows {
		row.strikes = settle(row.strikes, upstream, at, crashed)
		if len(row.strikes) == 0 {
			delete(s.rows, fingerprint)
		}
	}
}

func settle(strikes []strike, upstream string, at time.Time, crashed bool) []strike {
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

// expire drops the suspects whose last crash is longer ago than age.
func (s *suspects) expire(now time.Time, age time.Duration) {
	for fingerprint, row := range s.rows {
		if now.Sub(row.lastAt) > age {
			delete(s.rows, fingerprint)
		}
	}
}

// list returns the suspects by fingerprint, with ages in place of times.
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
