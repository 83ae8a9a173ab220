package calls

import (
	"context"
	"net/http"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/prog"
)

// modelRun is the state of a chat completion in progress.
type modelRun struct {
	*ModelExecutor
	call         ModelCall
	service      *conf.Service
	sink         Sink
	turn         turn
	answer       Answer
	promptTokens int64
	body         []byte
	// answerBegun is set once the sink's Begin has been called.
	answerBegun bool
	// position is the number of chunks received in the current attempt.
	position int
	splice   splice
	history  attemptHistory
}

// runStandalone runs a call that belongs to no program.
func (r *modelRun) runStandalone(ctx context.Context) *Refusal {
	r.turn.start.ReservedTokens = r.call.Request.PromptTokens() + r.call.Request.MaxTokens
	if refusal := r.attempts(ctx); refusal != nil {
		return refusal
	}
	r.finish(Result{Kept: true})
	return nil
}

// runInProgram runs the call as the next turn of its program.
func (r *modelRun) runInProgram(ctx context.Context) *Refusal {
	if r.drain.Refuses(r.call.Deadline) {
		return RefuseStopping()
	}
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

func (r *modelRun) beginRequest() *prog.BeginRequest {
	prompt := r.call.Request.PromptTokens()
	q := r.turn.beginRequest()
	q.EstimatedTokens = prompt + r.call.Request.MaxTokens
	q.MinimumTokens = prompt + 1
	q.WithHistory = true
	q.ExpectedTurn = r.call.ExpectedTurn
	return q
}

// end reports the outcome to the program's home, with the tokens used and the
// answer if there are any.
func (r *modelRun) end(ctx context.Context, outcome prog.Outcome) (*prog.EndReply, error) {
	q := r.turn.endRequest(outcome)
	if r.answerBegun || outcome == prog.OutcomeCompleted {
		r.answer.fillUsage(r.promptTokens)
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

// replay sends the stored answer of an earlier call with the same key.
func (r *modelRun) replay(stored *prog.Stored) *Refusal {
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

func (r *modelRun) finish(result Result) {
	r.beginAnswer()
	result.Message = r.answer.Message()
	result.Usage = r.answer.Usage
	result.Finish = r.answer.Finish
	r.sink.Finish(result)
}

func (r *modelRun) beginAnswer() {
	if !r.answerBegun {
		r.answerBegun = true
		r.sink.Begin(r.turn.start.Turn)
	}
}
