package drain

import (
	"sync/atomic"
	"time"

	"github.com/buckthorntide/buckthorntide/common"
)

type (
	// Plan is how a planned stop treats requests.
	Plan struct {
		// AcceptUntil is until when every request is passed on. Later ones are refused
		// if they may last longer than until AnswerBy, when the instance ends.
		AcceptUntil time.Time
		AnswerBy    time.Time
	}

	// State tells whether a planned stop is in progress. Its zero value is that of an
	// instance that isn't stopping; it is safe for concurrent use.
	State struct {
		begun atomic.Pointer[begun]
	}

	// begun is a planned stop in progress.
	begun struct {
		Plan
		// since is on the clock of common.Uptime.
		since time.Duration
	}
)

// Begin begins a planned stop. Later calls change nothing.
func (s *State) Begin(plan Plan) {
	s.begun.CompareAndSwap(nil, &begun{Plan: plan, since: common.Uptime()})
}

// Begun reports whether the planned stop has begun.
func (s *State) Begun() bool { return s.begun.Load() != nil }

// For returns how long the planned stop has been in progress, or 0.
func (s *State) For() time.Duration {
	b := s.begun.Load()
	if b == nil {
		return 0
	}
	return max(1, common.Uptime()-b.since)
}

// Closed reports whether a request that began at the time came too late to be accepted.
func (s *State) Closed(start time.Time) bool {
	b := s.begun.Load()
	return b != nil && start.After(b.AcceptUntil)
}

// Refuses reports whether a request that may last until the deadline must be refused,
// since it may not be answered before the instance ends.
func (s *State) Refuses(deadline time.Time) bool {
	b := s.begun.Load()
	return b != nil && !time.Now().Before(b.AcceptUntil) && deadline.After(b.AnswerBy)
}
