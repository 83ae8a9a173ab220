package calls

import (
	"context"
	"math/rand/v2"
	"net/http"

	"github.com/google/uuid"

	"github.com/buckthorntide/buckthorntide/prog"
)

type (
	// Opener opens and closes programs on behalf of callers.
	Opener struct {
		programs Programs
	}

	// sharedSource is a random source that is safe for concurrent use.
	sharedSource struct{}
)

// Uint64 implements rand.Source with the global generator.
func (sharedSource) Uint64() uint64 { return rand.Uint64() }

// NewOpener returns an Opener that sends its requests to the programs' homes.
func NewOpener(programs Programs) *Opener { return &Opener{programs: programs} }

// Open opens a root program, or a sub-agent of parent if that is not empty. The
// key makes opening a sub-agent idempotent.
func (o *Opener) Open(ctx context.Context, caller Caller, parent, key string) (*prog.OpenReply, *Refusal) {
	q := &prog.OpenRequest{
		Parent: parent,
		Key:    key,
		Team:   caller.Team.Name,
		Budget: caller.Team.Budget,
	}
	switch {
	case parent == "":
		q.Program = prog.NewRoot(rand.New(sharedSource{}))
	case key == "":
		q.Key = uuid.NewString()
	}
	reply, err := o.programs.Open(ctx, q)
	if err != nil {
		return nil, refuseUnavailable(NotRun, "the program could not be opened")
	}
	if reply.Refusal != nil {
		return nil, refuseProgram(reply.Refusal)
	}
	return reply, nil
}

// Close ends a program together with its sub-agents.
func (o *Opener) Close(ctx context.Context, caller Caller, program string) (*prog.CloseReply, *Refusal) {
	reply, err := o.programs.Close(ctx, &prog.CloseRequest{Program: program, Team: caller.Team.Name})
	if err != nil {
		return nil, &Refusal{
			Status:   http.StatusServiceUnavailable,
			Code:     "unavailable",
			Message:  "the program's home did not answer; end the program again",
			RunState: Unknown,
		}
	}
	if reply.Refusal != nil {
		return nil, refuseProgram(reply.Refusal)
	}
	return reply, nil
}
