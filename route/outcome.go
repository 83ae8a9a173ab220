package route

const (
	// OutcomeCompleted is a whole answer.
	OutcomeCompleted Outcome = iota + 1
	// OutcomeFailed is an error from the upstream, which may have run the call.
	OutcomeFailed
	// OutcomeCrashed is a connection that broke after the call was sent.
	OutcomeCrashed
	// OutcomeCancelled is an end that the caller or the system asked for.
	OutcomeCancelled
	// OutcomeRefused is a refusal by the upstream before it ran the call.
	OutcomeRefused
	// OutcomeUnreachable is a connection that was never made.
	OutcomeUnreachable
)

const (
	// RunStateNotRun says that no upstream has begun the call.
	RunStateNotRun RunState = "notRun"
	// RunStateRan says that an upstream ran the call to its end.
	RunStateRan RunState = "ran"
	// RunStateUnknown says that an upstream may have run the call.
	RunStateUnknown RunState = "unknown"
)

type (
	// Outcome is how an attempt ended.
	Outcome int

	// RunState says whether a call has run.
	RunState string
)

// notBegun says that the outcome proves that the upstream ran nothing.
func (o Outcome) notBegun() bool {
	return o == OutcomeRefused || o == OutcomeUnreachable
}

// retriable says that another upstream may do better.
func (o Outcome) retriable() bool {
	return o == OutcomeFailed || o == OutcomeCrashed || o.notBegun()
}

// runState says what is true of the call's run before its submission.
func (c *Call) runState() RunState {
	if c.Begun {
		return RunStateUnknown
	}
	return RunStateNotRun
}
