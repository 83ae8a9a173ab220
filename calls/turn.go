package calls

import (
	"context"
	"time"

	"github.com/buckthorntide/buckthorntide/prog"
)

// settleTimeout bounds the reports that follow a call whose caller may have
// left.
const settleTimeout = 30 * time.Second

// turn is a call's place in its program, as the program's home knows it.
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

// beginRequest asks for the turn.
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

// endRequest reports the outcome; what came of the call is for the caller of
// this method to fill in.
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

// end sends the report, also after the caller has left.
func (t *turn) end(ctx context.Context, q *prog.EndRequest) (*prog.EndReply, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
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
