package route

import "time"

// Limits are a pool's limits and the initial values of its estimates.
type Limits struct {
	// MaxQueued is the maximum number of waiting calls.
	MaxQueued int
	// MaxAttempts is the maximum number of assignments of one call.
	MaxAttempts int
	// RetryRatio is how many retries each success earns.
	RetryRatio float64
	// RetryBurst is how many retries can accumulate. The pool raises it to half
	// the service's slots, so that all calls of a lost failure domain can be
	// retried.
	RetryBurst float64
	// PrefillRate is the prompt tokens per second that an engine computes;
	// corrected by observation.
	PrefillRate float64
	// MoveRate is the prefix tokens per second that can be transferred; zero
	// disables transfers.
	MoveRate float64
	// ServiceTime is how long a call runs; corrected by observation.
	ServiceTime time.Duration
	// PauseReservation is how long a program's tokens stay reserved at its engine
	// after a turn.
	PauseReservation time.Duration
	// SettlingReserve is the share of slots kept free while a new controller
	// doesn't know all running calls.
	SettlingReserve float64
	// SharedSlots is the share of warm slots usable without exclusive authority.
	SharedSlots float64
	// ResumeTimeout is how long an attempt whose relay was lost waits for another
	// relay to resume it.
	ResumeTimeout time.Duration
	// ReportTimeout is how long after its deadline an attempt without a report
	// still counts as in flight.
	ReportTimeout time.Duration
	// CrashConfirmTimeout is how long a crash waits for evidence from the
	// upstream; after it the crash counts as confirmed.
	CrashConfirmTimeout time.Duration
	// MinBackoff is how long an upstream is excluded after the first failed
	// connection.
	MinBackoff time.Duration
	// MaxSuspects is the size of the table of suspects.
	MaxSuspects int
	// SuspectTTL is how long a suspect is kept after its last crash.
	SuspectTTL time.Duration
}

// DefaultLimits returns limits that suit the present sizes of services.
func DefaultLimits() Limits {
	return Limits{
		MaxQueued:           5000,
		MaxAttempts:         4,
		RetryRatio:          0.1,
		RetryBurst:          20,
		PrefillRate:         8000,
		ServiceTime:         2 * time.Second,
		PauseReservation:    2 * time.Second,
		SettlingReserve:     0.25,
		SharedSlots:         0.25,
		ResumeTimeout:       5 * time.Second,
		ReportTimeout:       30 * time.Second,
		CrashConfirmTimeout: 10 * time.Second,
		MinBackoff:          time.Second,
		MaxSuspects:         1024,
		SuspectTTL:          time.Hour,
	}
}
