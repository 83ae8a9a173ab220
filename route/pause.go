package route

import "time"

type (
	// pauses holds the reservations of programs in a short tool pause: their
	// tokens count as in use on their upstream, so that new programs go where
	// they evict no such prefix.
	pauses struct {
		reserved map[string]*pause
		// queue is ordered by until.
		queue []*pause
		head  int
	}

	// pause is one program's reservation.
	pause struct {
		program  string
		upstream *upstream
		tokens   int
		until    time.Time
	}
)

func newPauses() pauses {
	return pauses{reserved: make(map[string]*pause)}
}

// begin reserves the program's tokens at the upstream.
func (s *pauses) begin(program string, u *upstream, tokens int, until time.Time) {
	s.end(program)
	p := &pause{program: program, upstream: u, tokens: tokens, until: until}
	u.liveTokens += tokens
	s.reserved[program] = p
	s.queue = append(s.queue, p)
}

// end releases the reservation.
func (s *pauses) end(program string) {
	p := s.reserved[program]
	if p == nil {
		return
	}
	p.upstream.liveTokens -= p.tokens
	p.upstream = nil
	delete(s.reserved, program)
}

// expire releases the reservations whose time is over.
func (s *pauses) expire(now time.Time) {
	for s.head < len(s.queue) {
		p := s.queue[s.head]
		if p.upstream != nil && now.Before(p.until) {
			break
		}
		if p.upstream != nil {
			s.end(p.program)
		}
		s.queue[s.head] = nil
		s.head++
	}
	s.compact()
}

// compact drops the used front of the queue once it is at least half.
func (s *pauses) compact() {
	if s.head*2 < len(s.queue) {
		return
	}
	s.queue = append(s.queue[:0], s.queue[s.head:]...)
	s.head = 0
}
