package calls

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/drain"
	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/limit"
	"github.com/buckthorntide/buckthorntide/prog"
	"github.com/buckthorntide/buckthorntide/quota"
)

type (
	// ModelCall is one chat completion requested by a caller.
	ModelCall struct {
		Caller  Caller
		Program string
		// CallID is the caller's idempotency key, or a generated ID.
		CallID string
		// Attempt identifies this transmission of the call; a resend has a
		// new one.
		Attempt string
		// ExpectedTurn is the turn that the call must become; zero means any.
		ExpectedTurn int
		Request      *ChatRequest
		Digest       string
		Deadline     time.Time
	}

	// ModelExecutor executes chat completions.
	ModelExecutor struct {
		common   *common.Common
		self     string
		texts    Texts
		limits   Limits
		programs Programs
		pools    Pools
		engines  *engine.Client
		drain    *drain.State
	}
)

// NewModelExecutor returns a Model whose relay instance is self.
func NewModelExecutor(
	c *common.Common,
	self string,
	texts Texts,
	limits Limits,
	programs Programs,
	pools Pools,
	engines *engine.Client,
	planned *drain.State,
) *ModelExecutor {
	return &ModelExecutor{
		common:   c.Part("calls"),
		self:     self,
		texts:    texts,
		limits:   limits,
		programs: programs,
		pools:    pools,
		engines:  engines,
		drain:    planned,
	}
}

// Complete executes the call and writes the answer to the sink, or returns a
// refusal.
func (m *ModelExecutor) Complete(ctx context.Context, call ModelCall, sink Sink) *Refusal {
	service, refusal := m.serviceOf(call)
	if refusal != nil {
		return refusal
	}
	if refusal := takeToken(ctx, m.limits, call.Caller); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	r := &modelRun{ModelExecutor: m, call: call, service: service, sink: sink, turn: turn{
		programs: m.programs,
		relay:    m.self,
		team:     call.Caller.Team.Name,
		program:  call.Program,
		callID:   call.CallID,
		attempt:  call.Attempt,
		kind:     prog.KindModel,
		digest:   call.Digest,
		deadline: call.Deadline,
	}}
	if call.Program == "" {
		return r.runStandalone(ctx)
	}
	return r.runInProgram(ctx)
}

func (m *ModelExecutor) serviceOf(call ModelCall) (*conf.Service, *Refusal) {
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
