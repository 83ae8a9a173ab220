package route

import (
	"time"

	"github.com/juju/errors"
)

const (
	// KindQueued says that the call waits; another decision follows.
	KindQueued Kind = iota + 1
	// KindAssign sends the call to an upstream.
	KindAssign
	// KindRefuse ends the call.
	KindRefuse
	// KindCancel asks for the end of a running attempt at the upstream. The
	// outcome is reported as OutcomeCancelled by whoever carries it out.
	KindCancel
)

const (
	// ErrQueueFull says that more calls wait than the service can bear.
	ErrQueueFull = errors.ConstError("queue is full")
	// ErrDeadline says that the call can't begin before its deadline.
	ErrDeadline = errors.ConstError("deadline comes before the call's turn")
	// ErrNoUpstream says that no upstream is usable.
	ErrNoUpstream = errors.ConstError("no upstream is usable")
	// ErrDependency says that a service that this one depends on is not usable.
	ErrDependency = errors.ConstError("a dependency is not usable")
	// ErrPoison says that the request crashed two upstreams.
	ErrPoison = errors.ConstError("request crashed two upstreams")
	// ErrUpstreamFailed says that the attempts failed and none is left.
	ErrUpstreamFailed = errors.ConstError("upstream failed")
	// ErrFinished says that the call has ended already.
	ErrFinished = errors.ConstError("call has ended already")
)

type (
	// Kind is the kind of a decision.
	Kind int

	// Decision is what a pool decides about one call.
	Decision struct {
		Kind Kind
		// Call and Relay name the call and who relays it.
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
		// Attempt counts the call's assignments from one. A relay that has begun
		// this attempt before doesn't begin it again; if it has ended, the relay
		// reports its end again.
		Attempt int
		// Priority orders calls in the engine; a lower value runs first.
		Priority int
		// Resume says that the attempt is running already, so that the relay
		// takes up its stream in place of sending it.
		Resume bool
		// Move asks for the prefix to be brought over first; nil means no.
		Move *Move
		// Warmth is for the relay to keep for a new controller.
		Warmth Warmth
	}

	// Move says where a prefix lies that is worth bringing over.
	Move struct {
		From    string
		Address string
		Tokens  int
	}

	// Refuse ends a call. What it says of the call's run is true.
	Refuse struct {
		Reason   errors.ConstError
		RunState RunState
		// Attempts is how many attempts of the call the refusal counts. A relay
		// that has begun more ignores it: it answers an older message.
		Attempts int
		// RetryAfter is when a new try may succeed; zero means never.
		RetryAfter time.Duration
	}

	// Cancel asks for the end of a running attempt.
	Cancel struct {
		Upstream string
		Address  string
		Attempt  int
	}
)
