package route

import "time"

type (
	// Call is one call that asks for an upstream. It is resent unchanged, with
	// the same ID, until it is answered.
	Call struct {
		// ID names the call over all resends.
		ID string
		// Relay is the instance that streams the answer to the caller.
		Relay string
		// Program is the program or sub-agent whose prefix the engine caches.
		Program string
		// Root is the program that the fairness counts; sub-agents share it.
		Root string
		// Team is the team that the program runs for.
		Team string
		// PromptTokens is the length of the whole prompt, in tokens.
		PromptTokens int
		// CachedOn are upstreams that the program's home last saw its prefix on.
		CachedOn []Hint
		// AttainedService is what the root program has used so far, in tokens.
		AttainedService int64
		// RunningProgram says that the program has had a turn already.
		RunningProgram bool
		// Repeatable says that the call may run more than once.
		Repeatable bool
		// Fingerprint is a digest of the request's new part; zero means none.
		Fingerprint uint64
		// Deadline is when the caller gives up; zero means never.
		Deadline time.Time
		// Attempts is how many attempts the relay has begun already, under any
		// controller.
		Attempts int
		// Begun says that one of them may have run. A call that is not Repeatable
		// is then refused with RunStateUnknown.
		Begun bool
		// Avoid names upstreams that the call should not go to.
		Avoid []string
	}

	// Hint says that an upstream held a prefix.
	Hint struct {
		Upstream string
		// Tokens is the prefix's length.
		Tokens int
	}

	// Report tells how one attempt of a call ended.
	Report struct {
		// Call is the call's ID.
		Call string
		// Upstream and Attempt are those of the assignment.
		Upstream string
		Attempt  int
		// Relay is the instance that reports.
		Relay   string
		Outcome Outcome
		// Delivered says that the caller has got a part of the answer.
		Delivered bool
		// FirstToken is the time from dispatch to the first token; zero means
		// that none came.
		FirstToken time.Duration
		// Tokens counts the answer's tokens.
		Tokens int
		// CachedTokens is how many prompt tokens the engine had cached.
		CachedTokens int
	}

	// Inflight is an attempt that a relay has running; it reports them to a new
	// controller.
	Inflight struct {
		Call     Call
		Upstream string
		Attempt  int
		// Warmth is what the assignment carried.
		Warmth Warmth
	}

	// Warmth is how far an upstream's slow start has come. Relays keep the last
	// one of each upstream for a new controller.
	Warmth struct {
		Upstream string
		// Epoch is the upstream's, from its load report.
		Epoch string
		// Age is how long ago the relay got it, by the relay's own clock.
		Age time.Duration
		// Allowance is how many calls may be in flight.
		Allowance int
	}
)
