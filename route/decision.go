package route

import (
	"time"

	"github.com/juju/errors"
)

const (
	// KindQueued means that the call waits; another decision follows.
	KindQueued Kind = iota + 1
	// KindAssign sends the call to an upstream.
	KindAssign
	// KindRefuse ends the call.
	KindRefuse
	// KindCancel asks the relay to cancel a running attempt at the upstream. The
	// relay then reports OutcomeCancelled.
	KindCancel
)

const (
	// ErrQueueFull means that the service's queue has reached its limit.
	ErrQueueFull = errors.ConstError("queue is full")
	// ErrDeadline means that the call can't start before its deadline.
	ErrDeadline = errors.ConstError("deadline comes before the call's turn")
	// ErrNoUpstream means that no upstream is usable.
	ErrNoUpstream = errors.ConstError("no upstream is usable")
	// ErrDependency means that a service that this one depends on is not usable.
	ErrDependency = errors.ConstError("a dependency is not usable")
	// ErrPoison means that the request has crashed upstreams.
	ErrPoison = errors.ConstError("request crashed two upstreams")
	// ErrUpstreamFailed means that an attempt failed and no retry is allowed.
	ErrUpstreamFailed = errors.ConstError("upstream failed")
	// ErrFinished means that the call has ended already.
	ErrFinished = errors.ConstError("call has ended already")
)

type (
	// Kind is the kind of a decision.
	Kind int

	// Decision is what a pool decides about one call.
	Decision struct {
		Kind Kind
		// Call is the call's ID and Relay the instance that relays it.
		Call  string
		Relay string
		// Assign is set for KindAssign, Refuse for KindRefuse and Cancel for
		// KindCancel.
		Assign *Assign
		Refuse *Refuse
		Cancel *Cancel
	}

	// Assign sends a call to an upstream.
	Assign struct {
		Upstream string
		Address  string
		// Attempt numbers the call's assignments from one. A relay that has begun
		// this attempt before doesn't begin it again; if the attempt has ended, the
		// relay reports its end again.
		Attempt int
		// Priority orders calls in the engine; a lower value runs first.
		Priority int
		// Resume means that the attempt is running already: the relay resumes its
		// stream instead of sending it.
		Resume bool
		// Move asks to transfer the prefix first; nil means no.
		Move *Move
		// Warmth is kept by the relay for a new controller.
		Warmth Warmth
	}

	// Move describes a prefix on another upstream that is worth transferring.
	Move struct {
		From    string
		Address string
		Tokens  int
	}

	// Refuse ends a call. RunState must be correct: the caller relies on it.
	Refuse struct {
		Reason   errors.ConstError
		RunState RunState
		// Attempts is how many attempts of the call the refusal accounts for. A
		// relay that has begun more ignores it: it answers an older message.
		Attempts int
		// RetryAfter is when a retry may succeed; zero means never.
		RetryAfter time.Duration
	}

	// Cancel asks the relay to cancel a running attempt.
	Cancel struct {
		Upstream string
		Address  string
		Attempt  int
	}
)
