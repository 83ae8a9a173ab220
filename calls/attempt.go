package calls

import (
	"context"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/prog"
	"github.com/buckthorntide/buckthorntide/route"
)

// maxResumes bounds how often the stream of one attempt is resumed.
const maxResumes = 3

// attempts sends the call to one upstream after another until one completes the
// answer or the pool refuses the call.
func (r *modelRun) attempts(ctx context.Context) *Refusal {
	r.promptTokens = r.turn.start.HistoryTokens + r.call.Request.PromptTokens()
	maxTokens := min(r.call.Request.MaxTokens, max(1, r.turn.start.ReservedTokens-r.promptTokens))
	body, err := r.call.Request.EngineBody(r.turn.start.History, maxTokens)
	if err != nil {
		return NewRefusal(http.StatusBadRequest, "badRequest", "the body can't be passed on")
	}
	r.body = body
	state := NotRun
	for {
		if state == NotRun && r.drain.Refuses(r.call.Deadline) {
			return RefuseStopping()
		}
		decision, err := r.pools.Submit(ctx, r.service.Name, r.routeCall())
		if err != nil {
			return refuseUnavailable(state, "no upstream was found in time")
		}
		if r.history.isStale(decision) {
			r.pools.Done(context.WithoutCancel(ctx), r.service.Name, r.history.last)
			continue
		}
		if decision.Refuse != nil {
			return refuseRoute(decision.Refuse)
		}
		report, refusal := r.attempt(ctx, decision.Call, *decision.Assign)
		r.history.add(report)
		r.cancelAttempt(ctx, *decision.Assign, &report)
		r.pools.Done(context.WithoutCancel(ctx), r.service.Name, report)
		if report.Outcome == route.OutcomeCompleted {
			return nil
		}
		if refusal != nil {
			return refusal
		}
		if report.Outcome == route.OutcomeCrashed || report.Outcome == route.OutcomeFailed {
			state = Unknown
		}
	}
}

func (r *modelRun) routeCall() route.Call {
	call := route.Call{
		ID:              r.history.callID(r.call.Attempt),
		Relay:           r.self,
		Program:         r.cacheName(),
		Root:            r.call.Attempt,
		Team:            r.call.Caller.Team.Name,
		PromptTokens:    int(r.promptTokens),
		AttainedService: r.turn.start.Attained,
		RunningProgram:  r.turn.start.Turn > 1,
		Repeatable:      true,
		Fingerprint:     r.fingerprint(),
		Deadline:        r.call.Deadline,
		Attempts:        r.history.last.Attempt,
		Begun:           r.history.mayHaveRun,
		Avoid:           r.history.triedUpstreams,
	}
	if r.call.Program != "" {
		call.Root = prog.RootOf(r.call.Program)
	}
	for _, name := range r.turn.start.CachedOn {
		call.CachedOn = append(call.CachedOn, route.Hint{Upstream: name, Tokens: int(r.turn.start.HistoryTokens)})
	}
	return call
}

// fingerprint identifies the team and the complete prompt: a short message such
// as "yes" occurs in many conversations, of which only one may crash engines.
func (r *modelRun) fingerprint() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(r.call.Caller.Team.Name + "\n")
	_, _ = digest.Write(r.body)
	return digest.Sum64()
}

// attempt sends the call to one upstream. If it returns a refusal, the call must
// not be retried.
func (r *modelRun) attempt(ctx context.Context, id string, a route.Assign) (route.Report, *Refusal) {
	report := route.Report{Call: id, Upstream: a.Upstream, Attempt: a.Attempt, Relay: r.self}
	r.resetAttempt(a)
	sent := r.common.Clock.Now()
	err := r.stream(ctx, id, a, func() { report.FirstToken = r.common.Clock.Now().Sub(sent) })
	report.Outcome = outcomeOf(ctx, err)
	report.Delivered = !r.splice.canRetry()
	report.Tokens = int(r.answer.Usage.AnswerTokens)
	report.CachedTokens = r.answer.Usage.cachedTokens()
	if err == nil {
		r.answer.upstream = a.Upstream
		return report, nil
	}
	if ctx.Err() != nil {
		return report, refuseInterrupted(ctx, report.Outcome)
	}
	r.common.Log.Info("attempt failed", "upstream", a.Upstream, "error", err)
	if report.Delivered {
		return report, &Refusal{
			Status:   http.StatusBadGateway,
			Code:     "upstreamLost",
			Message:  "the upstream was lost in the middle of the answer; send the call again",
			RunState: Ran,
		}
	}
	return report, nil
}

// resetAttempt discards the state of the previous attempt, unless the next one
// resumes its stream at the same engine.
func (r *modelRun) resetAttempt(a route.Assign) {
	if a.Resume {
		return
	}
	r.position = 0
	r.answer = Answer{}
	r.splice.nextAttempt()
}

// stream relays the chunks of one attempt and resumes the stream at the same
// upstream when the connection breaks.
func (r *modelRun) stream(ctx context.Context, id string, a route.Assign, onFirst func()) error {
	target := engine.Target{Address: a.Address, Credential: r.service.Credential}
	requestID := route.RequestID(id, a.Attempt)
	stream, err := r.open(ctx, target, requestID, a)
	for resumes := 0; ; resumes++ {
		if err == nil {
			err = r.relay(stream, onFirst)
			if err != nil && stream.Finished() {
				// The answer is complete; only the end-of-stream marker is
				// missing.
				err = nil
			}
			_ = stream.Close()
		}
		if err == nil {
			return nil
		}
		if !resumable(err) || resumes == maxResumes || ctx.Err() != nil {
			return err
		}
		streamErr := err
		if stream, err = r.engines.Resume(ctx, target, requestID, r.position); err != nil {
			return streamErr
		}
	}
}

func (r *modelRun) open(ctx context.Context, target engine.Target, requestID string, a route.Assign) (*engine.Stream, error) {
	if a.Resume {
		return r.engines.Resume(ctx, target, requestID, r.position)
	}
	return r.engines.Complete(ctx, target, engine.Completion{
		RequestID: requestID,
		Program:   r.cacheName(),
		Priority:  a.Priority,
		Body:      r.body,
	})
}

// cacheName is the program name under which the engine caches the prompt prefix.
func (r *modelRun) cacheName() string {
	if r.call.Program == "" {
		return r.call.Attempt
	}
	return r.call.Program
}

func (r *modelRun) relay(stream *engine.Stream, onFirst func()) error {
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if r.position == 0 {
			onFirst()
			r.beginAnswer()
		}
		r.position++
		textBefore := r.answer.Text()
		r.answer.Add(chunk.Data)
		data, err := r.splice.undelivered(textBefore, &r.answer, chunk.Data)
		if err != nil {
			return err
		}
		if data == nil {
			continue
		}
		if err := r.sink.Chunk(data); err != nil {
			return errors.WithType(err, errCallerDisconnected)
		}
	}
}
