package calls

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/limit"
	"github.com/buckthorntide/buckthorntide/prog"
	"github.com/buckthorntide/buckthorntide/quota"
	"github.com/buckthorntide/buckthorntide/route"
)

const (
	// settleTimeout bounds the reports that follow a call whose caller may
	// have left.
	settleTimeout = 30 * time.Second
	// maxResumes is how often one attempt's stream is taken up again.
	maxResumes = 3
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

	// ModelCall is one chat completion of a caller.
	ModelCall struct {
		Caller  Caller
		Program string
		// CallID is the caller's idempotency key or a new id.
		CallID string
		// Attempt names this sending of the call.
		Attempt string
		// ExpectedTurn is the turn that the caller expects; zero means any.
		ExpectedTurn int
		Request      *ChatRequest
		Digest       string
		Deadline     time.Time
	}

	// Model carries out chat completions.
	Model struct {
		common   *common.Common
		self     string
		texts    Texts
		limits   Limits
		programs Programs
		pools    Pools
		engines  *engine.Client
	}

	// run is one chat completion under way.
	run struct {
		*Model
		call    ModelCall
		service *conf.Service
		sink    Sink
		start   prog.Start
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
)

// NewModel returns a Model that relays on the instance self.
func NewModel(
	c *common.Common,
	self string,
	texts Texts,
	limits Limits,
	programs Programs,
	pools Pools,
	engines *engine.Client,
) *Model {
	return &Model{
		common:   c.Part("calls"),
		self:     self,
		texts:    texts,
		limits:   limits,
		programs: programs,
		pools:    pools,
		engines:  engines,
	}
}

// Complete runs the call and gives the answer to the sink, or returns why not.
func (m *Model) Complete(ctx context.Context, call ModelCall, sink Sink) *Refusal {
	service, refusal := m.serviceOf(call)
	if refusal != nil {
		return refusal
	}
	if refusal := takeToken(ctx, m.limits, call.Caller); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	r := &run{Model: m, call: call, service: service, sink: sink}
	if call.Program == "" {
		return r.alone(ctx)
	}
	return r.inProgram(ctx)
}

func (m *Model) serviceOf(call ModelCall) (*conf.Service, *Refusal) {
	service, ok := m.texts.Text().Model(call.Request.Model)
	if !ok || !call.Caller.MayCall(service.Name) {
		return nil, NewRefusal(http.StatusNotFound, "unknownModel", "no service of this team serves the model")
	}
	return &service, nil
}

func takeToken(ctx context.Context, limits Limits, caller Caller) *Refusal {
	grant := limit.Grant{RatePerSecond: caller.Team.RatePerSecond, Burst: caller.Team.Burst}
	err := limits.Take(ctx, caller.Team.Name, grant)
	if err == nil {
		return nil
	}
	var limited *quota.LimitedError
	if errors.As(err, &limited) {
		r := NewRefusal(http.StatusTooManyRequests, "rateLimited", "the team is over its rate and burst; try again later")
		r.RetryAfter = max(limited.RetryAfter, time.Millisecond)
		return r
	}
	return refuseUnavailable(NotRun, "the team's rate could not be checked")
}

// alone runs a call that belongs to no program.
func (r *run) alone(ctx context.Context) *Refusal {
	r.start.ReservedTokens = r.call.Request.PromptTokens() + r.call.Request.MaxTokens
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
	r.start = *reply.Start
	ctx, cancel := context.WithTimeout(ctx, r.start.TimeLeft)
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
	r.finish(Result{Turn: r.start.Turn, Kept: ended.Kept})
	return nil
}

func (r *run) beginRequest() *prog.BeginRequest {
	request := r.call.Request
	prompt := request.PromptTokens()
	return &prog.BeginRequest{
		Program:         r.call.Program,
		Team:            r.call.Caller.Team.Name,
		CallID:          r.call.CallID,
		Attempt:         r.call.Attempt,
		Relay:           r.self,
		Kind:            prog.KindModel,
		Digest:          r.call.Digest,
		EstimatedTokens: prompt + request.MaxTokens,
		MinimumTokens:   prompt + 1,
		WithHistory:     true,
		ExpectedTurn:    r.call.ExpectedTurn,
		Deadline:        r.call.Deadline,
	}
}

// end reports the outcome, also after the caller has left.
func (r *run) end(ctx context.Context, outcome prog.Outcome) (*prog.EndReply, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	q := &prog.EndRequest{
		Program:  r.call.Program,
		Team:     r.call.Caller.Team.Name,
		Turn:     r.start.Turn,
		CallID:   r.call.CallID,
		Attempt:  r.call.Attempt,
		Relay:    r.self,
		Kind:     prog.KindModel,
		Digest:   r.call.Digest,
		Previous: r.start.Previous,
		Outcome:  outcome,
	}
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
	return r.programs.End(ctx, q)
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
		r.sink.Begin(r.start.Turn)
	}
}

// attempts sends the call to one upstream after another until one has given
// the whole answer or the pool says no.
func (r *run) attempts(ctx context.Context) *Refusal {
	r.prompt = r.start.HistoryTokens + r.call.Request.PromptTokens()
	maxTokens := min(r.call.Request.MaxTokens, max(1, r.start.ReservedTokens-r.prompt))
	body, err := r.call.Request.EngineBody(r.start.History, maxTokens)
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
		AttainedService: r.start.Attained,
		RunningProgram:  r.start.Turn > 1,
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
	for _, name := range r.start.CachedOn {
		call.CachedOn = append(call.CachedOn, route.Hint{Upstream: name, Tokens: int(r.start.HistoryTokens)})
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

// resumable tells a stream that may be taken up where it broke.
func resumable(err error) bool {
	return errors.Is(err, engine.ErrTruncated) || errors.Is(err, engine.ErrGap)
}

func outcomeOf(ctx context.Context, err error) route.Outcome {
	switch {
	case err == nil:
		return route.OutcomeCompleted
	case errors.Is(err, errCallerLeft) || ctx.Err() != nil:
		return route.OutcomeCancelled
	case errors.Is(err, engine.ErrUnreachable):
		return route.OutcomeUnreachable
	case errors.Is(err, engine.ErrRefused):
		return route.OutcomeRefused
	case errors.Is(err, engine.ErrFailed):
		return route.OutcomeFailed
	default:
		return route.OutcomeCrashed
	}
}

func refuseLeft(ctx context.Context, outcome route.Outcome) *Refusal {
	r := &Refusal{
		Status:   statusCallerLeft,
		Code:     "cancelled",
		Message:  "the caller left",
		RunState: Unknown,
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.Status = http.StatusGatewayTimeout
		r.Code = "deadline"
		r.Message = "the answer did not come before the deadline"
	}
	if errors.Is(context.Cause(ctx), ErrKeyWithdrawn) {
		r.Status = http.StatusUnauthorized
		r.Code = "keyWithdrawn"
		r.Message = "the key was withdrawn while the call ran"
	}
	if outcome == route.OutcomeUnreachable || outcome == route.OutcomeRefused {
		r.RunState = NotRun
	}
	return r
}
