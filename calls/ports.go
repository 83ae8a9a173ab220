package calls

import (
	"context"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/limit"
	"github.com/buckthorntide/buckthorntide/prog"
	"github.com/buckthorntide/buckthorntide/route"
)

type (
	// Limits takes tokens of a team's grant.
	Limits interface {
		// Take takes one token, or returns a quota.LimitedError or an error.
		Take(ctx context.Context, team string, grant limit.Grant) error
	}

	// Programs asks the programs' homes.
	Programs interface {
		Open(ctx context.Context, q *prog.OpenRequest) (*prog.OpenReply, error)
		// Begin waits until the call's turn has come, within the context.
		Begin(ctx context.Context, q *prog.BeginRequest) (*prog.BeginReply, error)
		End(ctx context.Context, q *prog.EndRequest) (*prog.EndReply, error)
		Close(ctx context.Context, q *prog.CloseRequest) (*prog.CloseReply, error)
	}

	// Pools asks the homes of the services for upstreams.
	Pools interface {
		// Submit waits for an assignment or a refusal. After a failed attempt
		// the same call is submitted again. A call that is left waiting is
		// taken back. The decision's call is the one to report and to submit
		// again.
		Submit(ctx context.Context, service string, call route.Call) (route.Decision, error)
		// Done reports how an attempt ended and waits until the report has
		// come in, so that the call may be submitted again.
		Done(ctx context.Context, service string, report route.Report)
	}

	// Texts gives the operators' text that is in force.
	Texts interface {
		Text() *conf.Text
	}

	// Sink takes a call's answer.
	Sink interface {
		// Begin is called once, before the first chunk.
		Begin(turn int)
		// Chunk takes one chunk of the stream.
		Chunk(data []byte) error
		// Finish is called once after the last chunk of a whole answer.
		Finish(result Result)
	}

	// Result says how a whole answer ended.
	Result struct {
		// Turn is the program's turn; zero without a program.
		Turn int
		// Kept says that the turn can't be lost any more.
		Kept bool
		// Message is the answer as a message.
		Message prog.Message
		Usage   Usage
		Finish  string
		// Replayed says that the answer comes from an earlier call with the
		// same idempotency key.
		Replayed bool
	}
)
