package main

import (
	"time"

	"github.com/buckthorntide/buckthorntide/stand"
)

const (
	// outcomeWhole is a whole answer.
	outcomeWhole outcome = iota
	// outcomeRefused is an answer that says that there is none.
	outcomeRefused
	// outcomeCut is a connection that ended before the answer was whole.
	outcomeCut
	// outcomeNotSent is a connection that was never made.
	outcomeNotSent

	runStateNotRun  = "notRun"
	runStateRan     = "ran"
	runStateUnknown = "unknown"
)

type (
	outcome int

	// refusal is what a refused caller is told.
	refusal struct {
		status     int
		code       string
		runState   string
		retryAfter time.Duration
	}

	// attempt is one request of a call.
	attempt struct {
		sent    time.Time
		done    time.Time
		outcome outcome
		refusal refusal
		answer  string
		// replayed says that the answer is that of an earlier attempt.
		replayed bool
		// within says that the team was within its grant.
		within bool
	}

	// callRecord is all that a caller knows of one call.
	callRecord struct {
		marker   string
		team     int
		root     string
		kind     stepKind
		tokens   int
		poison   bool
		history  []stand.Message
		attempts []attempt
	}
)

// whole returns the attempt that got the whole answer, or nil.
func (c *callRecord) whole() *attempt {
	for i := range c.attempts {
		if c.attempts[i].outcome == outcomeWhole {
			return &c.attempts[i]
		}
	}
	return nil
}

// unknowns counts the answers that left open whether the call ran.
func (c *callRecord) unknowns() int {
	count := 0
	for _, a := range c.attempts {
		if a.outcome == outcomeRefused && a.refusal.runState == runStateUnknown {
			count++
		}
	}
	return count
}

// span returns when the call took its token, if it was answered.
func (c *callRecord) span() (span, bool) {
	whole := c.whole()
	if whole == nil {
		return span{}, false
	}
	for _, a := range c.attempts {
		if a.outcome != outcomeRefused && a.outcome != outcomeNotSent {
			return span{sent: a.sent, done: whole.done}, true
		}
	}
	return span{}, false
}
