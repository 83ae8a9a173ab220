package calls

import (
	"context"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/limit"
	"github.com/buckthorntide/buckthorntide/prog"
	"github.com/buckthorntide/buckthorntide/route"
)

type (
	// Limits enforces the teams' rate limits.
	Limits interface {
		// Take takes one token of the team's grant. A quota.LimitedError means
		// that the team is over its limit; any other error, that the limit
		// could not be checked.
		Take(ctx context.Context, team string, grant limit.Grant) error
	}

	// Programs sends requests to the programs' homes.
	Programs interface {
		Open(ctx context.Context, q *prog.OpenRequest) (*prog.OpenReply, error)
		// Begin waits, within the context, until the call may start its turn.
		Begin(ctx context.Context, q *prog.BeginRequest) (*prog.BeginReply, error)
		End(ctx context.Context, q *prog.EndRequest) (*prog.EndReply, error)
		Close(ctx context.Context, q *prog.CloseRequest) (*prog.CloseReply, error)
	}

	// Pools requests upstreams from the services' homes.
	Pools interface {
		// Submit waits for an assignment or a refusal. After a failed attempt
		// the same call is submitted again. A call whose context ends while it
		// waits is withdrawn. Reports and later submissions use the call ID of
		// the decision.
		Submit(ctx context.Context, service string, call route.Call) (route.Decision, error)
		// Done reports the outcome of an attempt. Unless it completed, Done
		// waits for the acknowledgement, so that the call may be submitted
		// again.
		Done(ctx context.Context, service string, report route.Report)
	}

	// Texts provides the operators' text that is in force.
	Texts interface {
		Text() *conf.Text
	}

	// Sink receives a call's answer.
	Sink interface {
		// Begin is called once before the first chunk, with the program's turn.
		Begin(turn int)
		// Chunk forwards one chunk of the stream to the caller.
		Chunk(data []byte) error
		// Finish is called once after the last chunk of a complete answer.
		Finish(result Result)
	}

	// Result describes a complete answer.
	Result struct {
		// Turn is the program's turn; zero without a program.
		Turn int
		// Kept is set if the turn is durable.
		Kept bool
		// Message is the answer as a message of the program's history.
		Message prog.Message
		Usage   Usage
		Finish  string
		// Replayed is set if the answer is the stored one of an earlier call
		// with the same idempotency key.
		Replayed bool
	}
)
