package calls

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/drain"
	"github.com/buckthorntide/buckthorntide/prog"
	"github.com/buckthorntide/buckthorntide/relay"
	"github.com/buckthorntide/buckthorntide/route"
)

const (
	// roleService is the role of a plain service's answer in a program's
	// history.
	roleService = "service"
	// maxRecordAttempts bounds how many turns recordTurn tries; each change of
	// the program's home can take one from the call.
	maxRecordAttempts = 3
)

type (
	// Intents makes calls that must not be repeated run at most once.
	Intents interface {
		Claim(ctx context.Context, q prog.ClaimRequest) *prog.ClaimReply
		Settle(ctx context.Context, c *prog.Claim, answer prog.CallAnswer) bool
		SettleNotRun(ctx context.Context, c *prog.Claim) bool
		SettleUnknown(ctx context.Context, c *prog.Claim) bool
	}

	// PlainCall is a caller's call of a plain service.
	PlainCall struct {
		Caller  Caller
		Service conf.Service
		Route   conf.Route
		Program string
		// CallID is the caller's idempotency key, or a generated ID.
		CallID string
		// Generated is set if CallID was generated here.
		Generated bool
		// Attempt identifies this transmission of the call; a resend has a
		// new one.
		Attempt  string
		Method   string
		Path     string
		Query    string
		Header   http.Header
		Body     []byte
		Digest   string
		Deadline time.Time
	}

	// PlainResult is the complete answer of a plain service.
	PlainResult struct {
		Answer relay.PlainResponse
		// Turn is the turn that records the call; zero if there is none.
		Turn int
		// Replayed is set if the answer is the stored one of an earlier call
		// with the same idempotency key.
		Replayed bool
	}

	// PlainExecutor executes calls of plain services.
	PlainExecutor struct {
		common   *common.Common
		self     string
		limits   Limits
		programs Programs
		pools    Pools
		intents  Intents
		relay    *relay.PlainClient
		drain    *drain.State
	}

	// plainRun is the state of a plain service call in progress.
	plainRun struct {
		*PlainExecutor
		call  PlainCall
		turn  turn
		claim *prog.Claim
		// upstream is the upstream that answered.
		upstream string
		history  attemptHistory
	}
)

// NewPlainExecutor returns a Plain whose relay instance is self.
func NewPlainExecutor(
	c *common.Common,
	self string,
	limits Limits,
	programs Programs,
	pools Pools,
	intents Intents,
	forward *relay.PlainClient,
	planned *drain.State,
) *PlainExecutor {
	return &PlainExecutor{
		common:   c.Part("calls"),
		self:     self,
		limits:   limits,
		programs: programs,
		pools:    pools,
		intents:  intents,
		relay:    forward,
		drain:    planned,
	}
}

// Call executes the call and returns its complete answer, or a refusal.
func (p *PlainExecutor) Call(ctx context.Context, call PlainCall) (PlainResult, *Refusal) {
	if call.Caller.Team.Name != "" {
		if refusal := takeToken(ctx, p.limits, call.Caller); refusal != nil {
			return PlainResult{}, call.RefusedBeforeClaim(refusal)
		}
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	r := &plainRun{PlainExecutor: p, call: call, turn: turn{
		programs: p.programs,
		relay:    p.self,
		team:     call.Caller.Team.Name,
		program:  call.Program,
		callID:   call.CallID,
		attempt:  call.Attempt,
		kind:     prog.KindPlain,
		digest:   call.Digest,
		deadline: call.Deadline,
	}}
	if call.Program == "" {
		return r.execute(ctx)
	}
	return r.runInProgram(ctx)
}

// runInProgram runs the call as the next turn of its program.
func (r *plainRun) runInProgram(ctx context.Context) (PlainResult, *Refusal) {
	if r.drain.Refuses(r.call.Deadline) {
		return PlainResult{}, r.call.RefusedBeforeClaim(RefuseStopping())
	}
	reply, err := r.programs.Begin(ctx, r.turn.beginRequest())
	if err != nil {
		return PlainResult{}, r.call.RefusedBeforeClaim(refuseUnavailable(NotRun, "the program's home did not answer"))
	}
	switch {
	case reply.Refusal != nil:
		return PlainResult{}, r.call.RefusedBeforeClaim(refuseProgram(reply.Refusal))
	case reply.Replay != nil:
		return replayTurn(reply.Replay)
	case reply.Start == nil:
		timedOut := &prog.Refusal{Reason: prog.ReasonDeadline, RunState: prog.NotRun}
		return PlainResult{}, r.call.RefusedBeforeClaim(refuseProgram(timedOut))
	}
	r.turn.start = *reply.Start
	ctx, cancel := context.WithTimeout(ctx, r.turn.start.TimeLeft)
	defer cancel()
	result, refusal := r.execute(ctx)
	if refusal != nil {
		_, _ = r.end(ctx, endOutcome(ctx, refusal), nil)
		return PlainResult{}, refusal
	}
	result.Turn = r.recordTurn(ctx, &result.Answer)
	return result, nil
}

// recordTurn sends the answer to the program's home and returns the turn that
// records it. If another call has taken the turn meanwhile, for example because
// the home was frozen, the answer is recorded in a later turn, since the call
// has run. Zero means that no turn records it; a resend with the same key does
// so then.
func (r *plainRun) recordTurn(ctx context.Context, answer *relay.PlainResponse) int {
	for range maxRecordAttempts {
		ended, err := r.end(ctx, prog.OutcomeCompleted, answer)
		if err != nil {
			r.common.Log.Warn("cannot commit turn yet", "program", r.call.Program, "error", err)
			return r.turn.start.Turn
		}
		if !ended.Superseded && ended.Refusal == nil {
			return r.turn.start.Turn
		}
		r.common.Log.Info("another call took the turn of a completed call; recording the answer in a later turn",
			"program", r.call.Program, "call", r.call.CallID, "turn", r.turn.start.Turn)
		reply, err := r.programs.Begin(ctx, r.turn.beginRequest())
		switch {
		case err != nil:
			r.common.Log.Warn("completed call is not recorded in any turn", "program", r.call.Program, "call", r.call.CallID, "error", err)
			return 0
		case reply.Replay != nil:
			return reply.Replay.Turn
		case reply.Start == nil:
			r.common.Log.Warn("completed call is not recorded in any turn", "program", r.call.Program, "call", r.call.CallID, "refusal", reply.Refusal)
			return 0
		}
		r.turn.start = *reply.Start
	}
	return 0
}

// RefusedBeforeClaim adjusts the run state of a refusal that precedes the claim:
// if the call must not be repeated, an earlier transmission with the caller's
// key may have run, so its state is unknown.
func (c *PlainCall) RefusedBeforeClaim(refusal *Refusal) *Refusal {
	if refusal.RunState == NotRun && !c.Generated && !c.Route.Repeatable {
		refusal.RunState = Unknown
	}
	return refusal
}

// end reports the outcome, and the answer if there is one, to the program's
// home.
func (r *plainRun) end(ctx context.Context, outcome prog.Outcome, answer *relay.PlainResponse) (*prog.EndReply, error) {
	q := r.turn.endRequest(outcome)
	q.Engine = r.upstream
	if answer != nil {
		body, err := json.Marshal(answer)
		if err != nil {
			return nil, errors.Trace(err)
		}
		q.Answer = prog.Message{Role: roleService, Body: body}
	}
	return r.turn.end(ctx, q)
}

func replayTurn(stored *prog.Stored) (PlainResult, *Refusal) {
	var answer relay.PlainResponse
	if err := json.Unmarshal(stored.Answer.Body, &answer); err != nil {
		return PlainResult{}, refuseProgram(&prog.Refusal{Reason: prog.ReasonConflict, RunState: prog.Ran})
	}
	return PlainResult{Answer: answer, Turn: stored.Turn, Replayed: true}, nil
}

// execute runs the call, at most once if its route isn't repeatable.
func (r *plainRun) execute(ctx context.Context) (PlainResult, *Refusal) {
	if r.call.Route.Repeatable {
		answer, refusal := r.attempts(ctx)
		return PlainResult{Answer: answer}, refusal
	}
	reply := r.intents.Claim(ctx, prog.ClaimRequest{
		Team:      r.call.Caller.Team.Name,
		Service:   r.call.Service.Name,
		Key:       r.call.CallID,
		Generated: r.call.Generated,
		Digest:    r.call.Digest,
		Deadline:  r.call.Deadline,
	})
	if reply.Refusal != nil {
		return PlainResult{}, refuseProgram(reply.Refusal)
	}
	if reply.Replay != nil {
		return PlainResult{Answer: storedAnswer(reply.Replay), Replayed: true}, nil
	}
	r.claim = reply.Run
	answer, refusal := r.attempts(ctx)
	r.settleIntent(ctx, answer, refusal)
	return PlainResult{Answer: answer}, refusal
}

func (r *plainRun) settleIntent(ctx context.Context, answer relay.PlainResponse, refusal *Refusal) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
	defer cancel()
	switch {
	case refusal == nil:
		r.intents.Settle(ctx, r.claim, prog.CallAnswer{
			Status:      answer.Status,
			ContentType: answer.Header.Get("Content-Type"),
			Body:        answer.Body,
		})
	case refusal.RunState == NotRun:
		r.intents.SettleNotRun(ctx, r.claim)
	default:
		r.intents.SettleUnknown(ctx, r.claim)
	}
}

func storedAnswer(a *prog.CallAnswer) relay.PlainResponse {
	header := make(http.Header)
	if a.ContentType != "" {
		header.Set("Content-Type", a.ContentType)
	}
	return relay.PlainResponse{Status: a.Status, Header: header, Body: a.Body}
}

// attempts sends the call to one upstream after another until one answers or
// the pool refuses the call. The pool assigns a call that isn't repeatable to a
// second upstream only if the first one certainly didn't start it.
func (r *plainRun) attempts(ctx context.Context) (relay.PlainResponse, *Refusal) {
	state := NotRun
	for {
		if state == NotRun && r.drain.Refuses(r.call.Deadline) {
			return relay.PlainResponse{}, RefuseStopping()
		}
		decision, err := r.pools.Submit(ctx, r.call.Service.Name, r.routeCall())
		if err != nil {
			return relay.PlainResponse{}, refuseUnavailable(state, "no upstream was found in time")
		}
		if r.history.isStale(decision) {
			r.pools.Done(context.WithoutCancel(ctx), r.call.Service.Name, r.history.last)
			continue
		}
		if decision.Refuse != nil {
			refusal := refuseRoute(decision.Refuse)
			if state == Unknown {
				refusal.RunState = Unknown
			}
			return relay.PlainResponse{}, refusal
		}
		answer, report, err := r.attempt(ctx, decision.Call, *decision.Assign)
		r.history.add(report)
		r.pools.Done(context.WithoutCancel(ctx), r.call.Service.Name, report)
		if err == nil {
			r.upstream = report.Upstream
			return answer, nil
		}
		if report.Outcome != route.OutcomeUnreachable {
			state = Unknown
		}
		if ctx.Err() != nil {
			refusal := refuseInterrupted(ctx, report.Outcome)
			refusal.RunState = state
			return relay.PlainResponse{}, refusal
		}
		if state == Unknown && !r.call.Route.Repeatable {
			return relay.PlainResponse{}, &Refusal{
				Status:   http.StatusBadGateway,
				Code:     "outcomeUnknown",
				Message:  "the upstream was lost before it answered; the call may have run and is not sent again",
				RunState: Unknown,
			}
		}
	}
}

func (r *plainRun) attempt(
	ctx context.Context,
	id string,
	a route.Assign,
) (relay.PlainResponse, route.Report, error) {
	report := route.Report{Call: id, Upstream: a.Upstream, Attempt: a.Attempt, Relay: r.self}
	sent := r.common.Clock.Now()
	answer, err := r.relay.Call(ctx, relay.PlainRequest{
		Address:    a.Address,
		Method:     r.call.Method,
		Path:       r.call.Path,
		Query:      r.call.Query,
		Header:     r.call.Header,
		Body:       r.call.Body,
		Credential: r.call.Service.Credential,
		CallID:     r.call.Attempt,
		Repeatable: r.call.Route.Repeatable,
	})
	switch {
	case err == nil:
		report.Outcome = route.OutcomeCompleted
		report.FirstToken = r.common.Clock.Now().Sub(sent)
	case errors.Is(err, relay.ErrNotSent):
		report.Outcome = route.OutcomeUnreachable
	case ctx.Err() != nil:
		report.Outcome = route.OutcomeCancelled
	default:
		report.Outcome = route.OutcomeCrashed
	}
	if err != nil {
		r.common.Log.Info("attempt failed", "upstream", a.Upstream, "error", err)
	}
	return answer, report, err
}

func (r *plainRun) routeCall() route.Call {
	call := route.Call{
		ID:              r.history.callID(r.call.Attempt),
		Relay:           r.self,
		Program:         r.call.Attempt,
		Root:            r.call.Attempt,
		Team:            r.call.Caller.Team.Name,
		AttainedService: r.turn.start.Attained,
		RunningProgram:  r.turn.start.Turn > 1,
		Repeatable:      r.call.Route.Repeatable,
		Fingerprint:     xxhash.Sum64String(r.call.Method + r.call.Path + r.call.Digest),
		Deadline:        r.call.Deadline,
		Attempts:        r.history.last.Attempt,
		Begun:           r.history.mayHaveRun,
		Avoid:           r.history.triedUpstreams,
	}
	if r.call.Program != "" {
		call.Program = r.call.Program
		call.Root = prog.RootOf(r.call.Program)
	}
	return call
}
