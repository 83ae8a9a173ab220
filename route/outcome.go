package route

const (
	// OutcomeCompleted means that the whole answer was received.
	OutcomeCompleted Outcome = iota + 1
	// OutcomeFailed means that the upstream returned an error; it may have run
	// the call.
	OutcomeFailed
	// OutcomeCrashed means that the connection broke after the call was sent.
	OutcomeCrashed
	// OutcomeCancelled means that the caller or the system cancelled the attempt.
	OutcomeCancelled
	// OutcomeRefused means that the upstream refused the call before running it.
	OutcomeRefused
	// OutcomeUnreachable means that no connection was made.
	OutcomeUnreachable
)

const (
	// RunStateNotRun means that no upstream has begun the call.
	RunStateNotRun RunState = "notRun"
	// RunStateRan means that an upstream ran the call to its end.
	RunStateRan RunState = "ran"
	// RunStateUnknown means that an upstream may have run the call.
	RunStateUnknown RunState = "unknown"
)

type (
	// Outcome is how an attempt ended.
	Outcome int

	// RunState reports whether a call has run.
	RunState string
)

// notBegun reports whether the outcome proves that the upstream ran nothing.
func (o Outcome) notBegun() bool {
	return o == OutcomeRefused || o == OutcomeUnreachable
}

// retriable reports whether another upstream may succeed.
func (o Outcome) retriable() bool {
	return o == OutcomeFailed || o == OutcomeCrashed || o.notBegun()
}

// runState returns what is known about the call's execution before its
// submission.
func (c *Call) runState() RunState {
	if c.Begun {
		return RunStateUnknown
	}
	return RunStateNotRun
}
