// Package calls executes callers' calls on the instance that received them, the
// relay instance: it requests a rate limit token, a turn and an upstream from
// their homes, streams the answer from the upstream to the caller and reports
// the outcome.
package calls

import (
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/prog"
	"github.com/buckthorntide/buckthorntide/route"
)

const (
	// ErrKeyWithdrawn is the cancellation cause of the calls of a withdrawn
	// key.
	ErrKeyWithdrawn = errors.ConstError("key withdrawn")
	// ErrStopping is the cancellation cause of the calls that still run when a
	// planned stop ends.
	ErrStopping = errors.ConstError("instance stops")

	errCallerDisconnected = errors.ConstError("caller disconnected")

	// finishStop is the finish reason of an answer that the model ended.
	finishStop = "stop"

	// NotRun means that no upstream has run the call and none will.
	NotRun RunState = "notRun"
	// Ran means that an upstream has run the call.
	Ran RunState = "ran"
	// Unknown means that an upstream may have run the call.
	Unknown RunState = "unknown"

	// statusClientClosedRequest is the non-standard status logged for a caller
	// that disconnected; it never reaches a client.
	statusClientClosedRequest = 499
	// unavailableRetryAfter is the retry delay suggested to the caller if a
	// home or dependency is unreachable.
	unavailableRetryAfter = time.Second
)

type (
	// RunState reports whether an upstream ran a refused call.
	RunState string

	// Refusal is the error response to a call that no upstream completed.
	Refusal struct {
		// Status is the HTTP status.
		Status int `json:"-"`
		// Code is the machine-readable reason, in camel case.
		Code string `json:"code"`
		// Message is the human-readable reason and what to do next.
		Message string `json:"message"`
		// RunState reports whether an upstream ran the call.
		RunState RunState `json:"runState"`
		// RetryAfter is the delay after which a resend may succeed; zero
		// means unknown.
		RetryAfter time.Duration `json:"-"`
	}
)

// Error formats the refusal as one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.RunState, r.Message)
}

// NewRefusal returns a refusal with the run state notRun.
func NewRefusal(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message, RunState: NotRun}
}

func refuseUnavailable(state RunState, what string) *Refusal {
	return &Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       "unavailable",
		Message:    what + "; try again",
		RunState:   state,
		RetryAfter: unavailableRetryAfter,
	}
}

// RefuseStopping refuses a call that may not end before the instance does.
func RefuseStopping() *Refusal {
	r := NewRefusal(http.StatusServiceUnavailable, "notReady", "the instance stops before the call may end; send it to another one")
	r.RetryAfter = unavailableRetryAfter
	return r
}

func refuseProgram(r *prog.Refusal) *Refusal {
	refusal := &Refusal{
		Status:   programStatus(r.Reason),
		Code:     string(r.Reason),
		Message:  programMessage(r.Reason),
		RunState: RunState(r.RunState),
	}
	if r.Retryable {
		refusal.RetryAfter = unavailableRetryAfter
	}
	return refusal
}

func programStatus(reason prog.Reason) int {
	switch reason {
	case prog.ReasonUnknownProgram:
		return http.StatusNotFound
	case prog.ReasonEnded:
		return http.StatusGone
	case prog.ReasonBudgetCalls, prog.ReasonBudgetTokens, prog.ReasonBudgetSeconds:
		return http.StatusPaymentRequired
	case prog.ReasonConflict, prog.ReasonTurn:
		return http.StatusConflict
	case prog.ReasonDeadline, prog.ReasonOutcomeUnknown:
		return http.StatusGatewayTimeout
	case prog.ReasonInvalid, prog.ReasonTooManyAgents:
		return http.StatusBadRequest
	case prog.ReasonDamaged:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

func programMessage(reason prog.Reason) string {
	switch reason {
	case prog.ReasonUnknownProgram:
		return "no such program; open one with POST /v1/programs"
	case prog.ReasonEnded:
		return "the program has ended; open a new one"
	case prog.ReasonBudgetCalls, prog.ReasonBudgetTokens, prog.ReasonBudgetSeconds:
		return "the program's budget is used up; open a new one"
	case prog.ReasonConflict:
		return "the idempotency key was used with another request"
	case prog.ReasonTurn:
		return "the program is at another turn; read it with GET /v1/programs"
	case prog.ReasonOutcomeUnknown:
		return "an earlier call with this idempotency key may have run"
	default:
		return "the program could not go on: " + string(reason)
	}
}

func refuseRoute(r *route.Refuse) *Refusal {
	return &Refusal{
		Status:     routeStatus(r),
		Code:       routeCode(r),
		Message:    r.Reason.Error(),
		RunState:   RunState(r.RunState),
		RetryAfter: r.RetryAfter,
	}
}

func routeStatus(r *route.Refuse) int {
	switch r.Reason {
	case route.ErrPoison:
		return http.StatusUnprocessableEntity
	case route.ErrUpstreamFailed:
		return http.StatusBadGateway
	case route.ErrFinished:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

func routeCode(r *route.Refuse) string {
	switch r.Reason {
	case route.ErrQueueFull:
		return "queueFull"
	case route.ErrDeadline:
		return "deadline"
	case route.ErrNoUpstream:
		return "noUpstream"
	case route.ErrDependency:
		return "dependency"
	case route.ErrPoison:
		return "poison"
	case route.ErrUpstreamFailed:
		return "upstreamFailed"
	case route.ErrFinished:
		return "finished"
	default:
		return "noUpstream"
	}
}
