package budget

import (
	"context"
	"sync"
	"time"
)

type (
	// settlements are the ends of reservations that have not reached their homes, by
	// program.
	settlements struct {
		mu   sync.Mutex
		open map[string]map[*settlement]struct{}
	}

	// settlement is the end of one reservation.
	settlement struct {
		// settled is closed once the home has ended the reservation.
		settled chan struct{}
	}
)

func newSettlements() *settlements {
	return &settlements{open: make(map[string]map[*settlement]struct{})}
}

// begin adds a settlement of the program; end must be called.
func (s *settlements) begin(program string) *settlement {
	n := &settlement{settled: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[program] == nil {
		s.open[program] = make(map[*settlement]struct{})
	}
	s.open[program][n] = struct{}{}
	return n
}

// end removes a settlement that has reached its home, or that is given up.
func (s *settlements) end(program string, n *settlement, settled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open[program], n)
	if len(s.open[program]) == 0 {
		delete(s.open, program)
	}
	if settled {
		close(n.settled)
	}
}

// of returns the program's settlements.
func (s *settlements) of(program string) []*settlement {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make([]*settlement, 0, len(s.open[program]))
	for n := range s.open[program] {
		found = append(found, n)
	}
	return found
}

// len returns the number of settlements of all programs.
func (s *settlements) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, n := range s.open {
		count += len(n)
	}
	return count
}

// awaitSettled reports whether all of the settlements reach their homes in time.
func awaitSettled(ctx context.Context, open []*settlement, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, n := range open {
		select {
		case <-n.settled:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
