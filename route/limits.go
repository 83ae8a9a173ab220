package route

import "time"

// Limits bound a pool and set its estimates.
type Limits struct {
	// MaxQueued bounds the calls that wait.
	MaxQueued int
	// MaxAttempts bounds the assignments of one call.
	MaxAttempts int
	// RetryRatio is how many retries each success earns.
	RetryRatio float64
	// RetryBurst is the most retries that may be saved up. It is at least half
	// the service's slots, so that a lost failure domain's calls can all go on.
	RetryBurst float64
	// PrefillRate is how many prompt tokens a second an engine computes; it is
	// corrected by what is observed.
	PrefillRate float64
	// MoveRate is how many tokens of a prefix a second can be moved; zero means
	// that prefixes aren't moved.
	MoveRate float64
	// ServiceTime is how long a call runs; it is corrected by what is observed.
	ServiceTime time.Duration
	// ToolPause is how long a program's slot at its engine is reserved after a
	// turn.
	ToolPause time.Duration
	// SettlingReserve is the share of slots kept back while a new controller
	// doesn't know all running calls.
	SettlingReserve float64
	// SharedSlots is the share of warm slots without exclusive authority.
	SharedSlots float64
	// ResumeTime is how long an attempt whose relay has gone waits for another
	// relay to resume it.
	ResumeTime time.Duration
	// LostTime is how long after its deadline an unreported attempt counts.
	LostTime time.Duration
	// ConfirmTime is how long a crash waits for proof by the upstream.
	ConfirmTime time.Duration
	// BackoffTime is how long an upstream that took no connection gets nothing.
	BackoffTime time.Duration
	// MaxSuspects bounds the table of suspects.
	MaxSuspects int
	// SuspectTime is how long a suspicion lasts.
	SuspectTime time.Duration
}

// DefaultLimits returns the limits for services of today's sizes.
func DefaultLimits() Limits {
	return Limits{
		MaxQueued:       5000,
		MaxAttempts:     4,
		RetryRatio:      0.1,
		RetryBurst:      20,
		PrefillRate:     8000,
		ServiceTime:     2 * time.Second,
		ToolPause:       2 * time.Second,
		SettlingReserve: 0.25,
		SharedSlots:     0.25,
		ResumeTime:      5 * time.Second,
		LostTime:        30 * time.Second,
		ConfirmTime:     10 * time.Second,
		BackoffTime:     time.Second,
		MaxSuspects:     1024,
		SuspectTime:     time.Hour,
	}
}
