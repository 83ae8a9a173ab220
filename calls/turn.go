package calls

import (
	"context"
	"time"

	"github.com/buckthorntide/buckthorntide/prog"
)

// outcomeTimeout bounds the report of a call's outcome, which is sent even if
// the caller has disconnected.
const outcomeTimeout = 30 * time.Second

// turn identifies a call as a turn of its program towards the program's home.
type turn struct {
	programs Programs
	relay    string
	team     string
	program  string
	callID   string
	attempt  string
	kind     prog.Kind
	digest   string
	deadline time.Time
	start    prog.Start
}

// beginRequest returns the request to start the turn.
func (t *turn) beginRequest() *prog.BeginRequest {
	return &prog.BeginRequest{
		Program:  t.program,
		Team:     t.team,
		CallID:   t.callID,
		Attempt:  t.attempt,
		Relay:    t.relay,
		Kind:     t.kind,
		Digest:   t.digest,
		Deadline: t.deadline,
	}
}

// endRequest returns the request that reports the outcome; the tokens and the
// answer are left for the caller to fill in.
func (t *turn) endRequest(outcome prog.Outcome) *prog.EndRequest {
	return &prog.EndRequest{
		Program:  t.program,
		Team:     t.team,
		Turn:     t.start.Turn,
		CallID:   t.callID,
		Attempt:  t.attempt,
		Relay:    t.relay,
		Kind:     t.kind,
		Digest:   t.digest,
		Previous: t.start.Previous,
		Outcome:  outcome,
	}
}

// end sends the report even if the caller has disconnected.
func (t *turn) end(ctx context.Context, q *prog.EndRequest) (*prog.EndReply, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
	defer cancel()
	return t.programs.End(ctx, q)
}

func endOutcome(ctx context.Context, refusal *Refusal) prog.Outcome {
	if ctx.Err() != nil {
		return prog.OutcomeCancelled
	}
	if refusal.RunState == Unknown {
		return prog.OutcomeUnknown
	}
	return prog.OutcomeFailed
}
