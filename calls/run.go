package calls

import (
	"context"
	"net/http"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/prog"
)

// run is one chat completion under way.
type run struct {
	*Model
	call    ModelCall
	service *conf.Service
	sink    Sink
	turn    turn
	answer  Answer
	prompt  int64
	body    []byte
	// begun says that the sink has been told to begin.
	begun bool
	// position is the number of chunks that the current attempt gave.
	position int
	splice   splice
	tries    tries
}

// alone runs a call that belongs to no program.
func (r *run) alone(ctx context.Context) *Refusal {
	r.turn.start.ReservedTokens = r.call.Request.PromptTokens() + r.call.Request.MaxTokens
	if refusal := r.attempts(ctx); refusal != nil {
		return refusal
	}
	r.finish(Result{Kept: true})
	return nil
}

// inProgram runs a call as the next turn of its program.
func (r *run) inProgram(ctx context.Context) *Refusal {
	reply, err := r.programs.Begin(ctx, r.beginRequest())
	if err != nil {
		return refuseUnavailable(NotRun, "the program's home did not answer")
	}
	switch {
	case reply.Refusal != nil:
		return refuseProgram(reply.Refusal)
	case reply.Replay != nil:
		return r.replay(reply.Replay)
	case reply.Start == nil:
		return refuseProgram(&prog.Refusal{Reason: prog.ReasonDeadline, RunState: prog.NotRun})
	}
	r.turn.start = *reply.Start
	ctx, cancel := context.WithTimeout(ctx, r.turn.start.TimeLeft)
	defer cancel()
	if refusal := r.attempts(ctx); refusal != nil {
		_, _ = r.end(ctx, endOutcome(ctx, refusal))
		return refusal
	}
	ended, err := r.end(ctx, prog.OutcomeCompleted)
	if err != nil || ended.Refusal != nil || ended.Superseded {
		return &Refusal{
			Status:   http.StatusServiceUnavailable,
			Code:     "turnNotKept",
			Message:  "the answer could not be kept; send the call again with the same idempotency key",
			RunState: Ran,
		}
	}
	r.finish(Result{Turn: r.turn.start.Turn, Kept: ended.Kept})
	return nil
}

func (r *run) beginRequest() *prog.BeginRequest {
	prompt := r.call.Request.PromptTokens()
	q := r.turn.beginRequest()
	q.EstimatedTokens = prompt + r.call.Request.MaxTokens
	q.MinimumTokens = prompt + 1
	q.WithHistory = true
	q.ExpectedTurn = r.call.ExpectedTurn
	return q
}

// end reports the outcome.
func (r *run) end(ctx context.Context, outcome prog.Outcome) (*prog.EndReply, error) {
	q := r.turn.endRequest(outcome)
	if r.begun || outcome == prog.OutcomeCompleted {
		r.answer.settle(r.prompt)
		q.PromptTokens = r.answer.Usage.PromptTokens
		q.AnswerTokens = r.answer.Usage.AnswerTokens
	}
	if outcome == prog.OutcomeCompleted {
		q.NewMessages = r.call.Request.Messages
		q.Answer = r.answer.Message()
		q.Engine = r.answer.upstream
	}
	return r.turn.end(ctx, q)
}

// replay answers with what an earlier call with the same key got.
func (r *run) replay(stored *prog.Stored) *Refusal {
	r.sink.Begin(stored.Turn)
	r.sink.Finish(Result{
		Turn:    stored.Turn,
		Kept:    true,
		Message: stored.Answer,
		Usage: Usage{
			PromptTokens: stored.PromptTokens,
			AnswerTokens: stored.AnswerTokens,
			TotalTokens:  stored.PromptTokens + stored.AnswerTokens,
		},
		Finish:   finishStop,
		Replayed: true,
	})
	return nil
}

func (r *run) finish(result Result) {
	r.begin()
	result.Message = r.answer.Message()
	result.Usage = r.answer.Usage
	result.Finish = r.answer.Finish
	r.sink.Finish(result)
}

func (r *run) begin() {
	if !r.begun {
		r.begun = true
		r.sink.Begin(r.turn.start.Turn)
	}
}
