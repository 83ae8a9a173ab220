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

// maxResumes is how often one attempt's stream is taken up again.
const maxResumes = 3

// attempts sends the call to one upstream after another until one has given
// the whole answer or the pool says no.
func (r *run) attempts(ctx context.Context) *Refusal {
	r.prompt = r.turn.start.HistoryTokens + r.call.Request.PromptTokens()
	maxTokens := min(r.call.Request.MaxTokens, max(1, r.turn.start.ReservedTokens-r.prompt))
	body, err := r.call.Request.EngineBody(r.turn.start.History, maxTokens)
	if err != nil {
		return NewRefusal(http.StatusBadRequest, "badRequest", "the body can't be passed on")
	}
	r.body = body
	state := NotRun
	for {
		decision, err := r.pools.Submit(ctx, r.service.Name, r.routeCall())
		if err != nil {
			return refuseUnavailable(state, "no upstream was found in time")
		}
		if r.tries.isStale(decision) {
			r.pools.Done(context.WithoutCancel(ctx), r.service.Name, r.tries.last)
			continue
		}
		if decision.Refuse != nil {
			return refuseRoute(decision.Refuse)
		}
		report, refusal := r.attempt(ctx, decision.Call, *decision.Assign)
		r.tries.add(report)
		r.stop(ctx, *decision.Assign, &report)
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

func (r *run) routeCall() route.Call {
	call := route.Call{
		ID:              r.tries.callID(r.call.Attempt),
		Relay:           r.self,
		Program:         r.cacheName(),
		Root:            r.call.Attempt,
		Team:            r.call.Caller.Team.Name,
		PromptTokens:    int(r.prompt),
		AttainedService: r.turn.start.Attained,
		RunningProgram:  r.turn.start.Turn > 1,
		Repeatable:      true,
		Fingerprint:     r.fingerprint(),
		Deadline:        r.call.Deadline,
		Attempts:        r.tries.last.Attempt,
		Begun:           r.tries.begun,
		Avoid:           r.tries.failed,
	}
	if r.call.Program != "" {
		call.Root = prog.RootOf(r.call.Program)
	}
	for _, name := range r.turn.start.CachedOn {
		call.CachedOn = append(call.CachedOn, route.Hint{Upstream: name, Tokens: int(r.turn.start.HistoryTokens)})
	}
	return call
}

// fingerprint names the whole prompt of one team: a short text such as "yes"
// stands in many conversations, and only one of them may crash engines.
func (r *run) fingerprint() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(r.call.Caller.Team.Name + "\n")
	_, _ = digest.Write(r.body)
	return digest.Sum64()
}

// attempt sends the call to one upstream. A refusal means that no other
// upstream may be tried.
func (r *run) attempt(ctx context.Context, id string, a route.Assign) (route.Report, *Refusal) {
	report := route.Report{Call: id, Upstream: a.Upstream, Attempt: a.Attempt, Relay: r.self}
	r.restart(a)
	sent := r.common.Clock.Now()
	err := r.stream(ctx, id, a, func() { report.FirstToken = r.common.Clock.Now().Sub(sent) })
	report.Outcome = outcomeOf(ctx, err)
	report.Delivered = !r.splice.possible()
	report.Tokens = int(r.answer.Usage.AnswerTokens)
	report.CachedTokens = r.answer.Usage.cached()
	if err == nil {
		r.answer.upstream = a.Upstream
		return report, nil
	}
	if ctx.Err() != nil {
		return report, refuseLeft(ctx, report.Outcome)
	}
	r.common.Log.Info("An attempt failed.", "upstream", a.Upstream, "error", err)
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

// restart prepares for the next attempt, which runs the call from its start
// unless it is taken up at the same engine.
func (r *run) restart(a route.Assign) {
	if a.Resume {
		return
	}
	r.position = 0
	r.answer = Answer{}
	r.splice.restart()
}

// stream relays one attempt's chunks and takes its stream up again at the same
// upstream when the connection breaks.
func (r *run) stream(ctx context.Context, id string, a route.Assign, first func()) error {
	target := engine.Target{Address: a.Address, Credential: r.service.Credential}
	requestID := route.RequestID(id, a.Attempt)
	stream, err := r.open(ctx, target, requestID, a)
	for resumes := 0; ; resumes++ {
		if err == nil {
			err = r.relay(stream, first)
			if err != nil && stream.Finished() {
				// Only the end mark is missing.
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
		broken := err
		if stream, err = r.engines.Resume(ctx, target, requestID, r.position); err != nil {
			return broken
		}
	}
}

func (r *run) open(ctx context.Context, target engine.Target, requestID string, a route.Assign) (*engine.Stream, error) {
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

// cacheName is the name that the engine keeps the prompt's prefix under.
func (r *run) cacheName() string {
	if r.call.Program == "" {
		return r.call.Attempt
	}
	return r.call.Program
}

func (r *run) relay(stream *engine.Stream, first func()) error {
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if r.position == 0 {
			first()
			r.begin()
		}
		r.position++
		before := r.answer.Text()
		r.answer.Add(chunk.Data)
		rest, err := r.splice.pass(before, &r.answer, chunk.Data)
		if err != nil {
			return err
		}
		if rest == nil {
			continue
		}
		if err := r.sink.Chunk(rest); err != nil {
			return errors.WithType(err, errCallerLeft)
		}
	}
}
