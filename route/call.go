package route

import "time"

type (
	// Call asks for an upstream. It is resent unchanged, with the same ID, until
	// it is answered.
	Call struct {
		// ID identifies the call across resends.
		ID string
		// Relay is the instance that streams the answer to the caller.
		Relay string
		// Program is the program or sub-agent whose prefix the engine caches.
		Program string
		// Root is the root program, the unit of fairness; sub-agents share it.
		Root string
		// Team is the program's team.
		Team string
		// PromptTokens is the length of the whole prompt.
		PromptTokens int
		// CachedOn lists the upstreams where the program's home last observed its
		// prefix.
		CachedOn []Hint
		// AttainedService is what the root program has used so far, in tokens.
		AttainedService int64
		// RunningProgram reports that the program has had a turn already.
		RunningProgram bool
		// Repeatable reports that the call may run more than once.
		Repeatable bool
		// Fingerprint is a digest of the request's new part; zero means none.
		Fingerprint uint64
		// Deadline is when the caller gives up; zero means never.
		Deadline time.Time
		// Attempts is how many attempts the relay has begun, under any controller.
		Attempts int
		// Begun reports that one of them may have run. A call that is not
		// Repeatable is then refused with RunStateUnknown.
		Begun bool
		// Avoid lists upstreams that the call should not go to.
		Avoid []string
	}

	// Hint reports that an upstream held a prefix.
	Hint struct {
		Upstream string
		// Tokens is the length of the prefix.
		Tokens int
	}

	// Report is the outcome of one attempt of a call.
	Report struct {
		// Call is the call's ID.
		Call string
		// Upstream and Attempt are those of the assignment.
		Upstream string
		Attempt  int
		// Relay is the instance that reports.
		Relay   string
		Outcome Outcome
		// Delivered reports that the caller has received a part of the answer.
		Delivered bool
		// FirstToken is the time from dispatch to the first token; zero means that
		// there was none.
		FirstToken time.Duration
		// Tokens is the length of the answer.
		Tokens int
		// CachedTokens is how many prompt tokens the engine had cached.
		CachedTokens int
	}

	// Inflight is a running attempt that a relay reports to a new controller.
	Inflight struct {
		Call     Call
		Upstream string
		Attempt  int
		// Warmth is the value from the assignment.
		Warmth Warmth
	}

	// Warmth is the slow-start progress of an upstream. Relays keep the latest
	// one of each upstream for a new controller.
	Warmth struct {
		Upstream string
		// Epoch is the upstream's epoch, from its load report.
		Epoch string
		// Age is how long ago the relay received it, by the relay's own clock.
		Age time.Duration
		// Allowance is how many calls may be in flight.
		Allowance int
	}
)
