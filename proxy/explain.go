package proxy

import (
	"net/http"
	"time"

	"github.com/buckthorntide/buckthorntide/pick"
	"github.com/buckthorntide/buckthorntide/share"
	"github.com/buckthorntide/buckthorntide/site"
)

const (
	// stateReady and stateDraining are the states of upstreams in explanations.
	stateReady    = "ready"
	stateDraining = "draining"
	// notCompared is the HeldForMs of a request that is refused before.
	notCompared = -1
	// noteTargets is given if another ID may lead to another service.
	noteTargets = "the route has several services; without a program, the request's ID decides which one is used"
	// noteLoan is given if the decision isn't made by this instance alone.
	noteLoan = "this instance has no quota token for the request now; it is admitted if one is lent or earned in time"
)

type (
	// Question describes a request to explain.
	Question struct {
		// Call has the fields of the request that decide where it goes.
		Call Call
		// Team stands in for the team of the call's key, if set.
		Team string
		Body []byte
	}

	// Explanation is where a request would go now, and why. It never holds a key.
	Explanation struct {
		Route *RouteExplanation `json:"route,omitempty"`
		// Service is the route's target that the request would be sent to.
		Service string `json:"service,omitempty"`
		// Team is empty on public routes and if the key is unknown.
		Team  string            `json:"team,omitempty"`
		Quota *QuotaExplanation `json:"quota,omitempty"`
		// HeldForMs is above 0 if the request is held off because it crashed upstreams, and
		// -1 if it is refused before it is compared with crashes.
		HeldForMs int64                 `json:"heldForMs"`
		Upstreams []UpstreamExplanation `json:"upstreams"`
		// Refused is set if the request would be refused; there is no choice then.
		Refused *RefusalExplanation `json:"refused,omitempty"`
		Choice  *ChoiceExplanation  `json:"choice,omitempty"`
		Notes   []string            `json:"notes,omitempty"`
	}

	// RouteExplanation is the route of a request.
	RouteExplanation struct {
		Name   string `json:"name"`
		Host   string `json:"host"`
		Prefix string `json:"prefix"`
		Public bool   `json:"public"`
	}

	// QuotaExplanation is the team's quota and this instance's share of it.
	QuotaExplanation struct {
		Rate  float64 `json:"rate"`
		Burst float64 `json:"burst"`
		// Tokens are the instance's own, Borrowed those lent by other instances.
		Tokens   float64 `json:"tokens"`
		Borrowed float64 `json:"borrowed"`
		// Given are the own tokens used or lent in the last window, of at most Limit.
		Given float64 `json:"given"`
		Limit float64 `json:"limit"`
		// NoOpeningsForMs is how long no program may open at this instance.
		NoOpeningsForMs int64 `json:"noOpeningsForMs"`
		// HasToken reports whether the share has a token for the request.
		HasToken bool `json:"hasToken"`
	}

	// UpstreamExplanation is one upstream of the service.
	UpstreamExplanation struct {
		ID            string           `json:"id"`
		State         string           `json:"state"`
		FailureDomain string           `json:"failureDomain"`
		Version       string           `json:"version"`
		InFlight      int              `json:"inFlight"`
		Fill          float64          `json:"fill"`
		ColdForMs     int64            `json:"coldForMs"`
		EjectedForMs  int64            `json:"ejectedForMs"`
		ExcludedBy    []pick.Exclusion `json:"excludedBy"`
	}

	// RefusalExplanation is the answer of the instance itself.
	RefusalExplanation struct {
		Status       int    `json:"status"`
		Reason       string `json:"reason"`
		RetryAfterMs int64  `json:"retryAfterMs"`
	}

	// ChoiceExplanation is the chosen upstream.
	ChoiceExplanation struct {
		Upstream string      `json:"upstream"`
		Reason   pick.Reason `json:"reason"`
	}
)

// BodyLimit returns the current limit on the bodies of requests, in bytes.
func (g *Proxy) BodyLimit() int64 { return bodyLimit(g.Views.View()) }

// Explain returns where the request would go now, and why. It takes the steps of a
// request up to its first attempt, but takes no token, counts nothing and sends
// nothing. The steps that depend on the store are left out: budgets, earlier turns and
// streams that are taken up.
func (g *Proxy) Explain(q Question) Explanation {
	x := &exchange{
		proxy:  g,
		call:   q.Call,
		view:   g.Views.View(),
		config: g.config.Load(),
		start:  time.Now(),
		input:  q.Body,
	}
	e := Explanation{HeldForMs: notCompared, Upstreams: []UpstreamExplanation{}}
	refused := x.findRoute()
	if x.route != nil {
		e.Route = &RouteExplanation{Name: x.route.Name, Host: x.route.Host, Prefix: x.route.Prefix, Public: x.route.Public}
	}
	if x.service == nil {
		e.refuse(refused)
		return e
	}
	e.Service = x.service.Name
	if len(x.route.Targets) > 1 && x.call.Program == "" && x.call.ID == "" {
		e.Notes = append(e.Notes, noteTargets)
	}
	for _, step := range []func() *refusal{
		func() *refusal { return x.explainTeam(&e, q.Team) },
		x.checkDrain,
		func() *refusal { return x.explainCrashes(&e) },
		func() *refusal { return x.explainQuota(&e) },
	} {
		if refused = step(); refused != nil {
			break
		}
	}
	x.explainPick(&e, refused)
	return e
}

func (e *Explanation) refuse(r *refusal) {
	e.Refused = &RefusalExplanation{Status: r.status, Reason: r.reason, RetryAfterMs: r.retryAfter.Milliseconds()}
}

// explainTeam determines the team by its name or by the key.
func (x *exchange) explainTeam(e *Explanation, name string) *refusal {
	if x.route.Public || name == "" {
		refused := x.checkKey()
		e.Team = x.teamName()
		return refused
	}
	if refused := x.checkKeyAge(); refused != nil {
		return refused
	}
	x.team = x.view.Team(name)
	if x.team == nil {
		return &refusal{status: http.StatusUnauthorized, reason: "no team has this name"}
	}
	e.Team = x.team.Name
	return nil
}

func (x *exchange) explainCrashes(e *Explanation) *refusal {
	left := x.proxy.Crashes.PeekHeldFor(x.identity())
	e.HeldForMs = left.Milliseconds()
	return refuseHeldOff(left)
}

func (x *exchange) explainQuota(e *Explanation) *refusal {
	if x.team == nil || x.team.Rate <= 0 {
		return nil
	}
	q := x.teamQuota()
	level, prospect := x.proxy.Quotas.Peek(q, x.opensProgram())
	e.Quota = &QuotaExplanation{
		Rate:            x.team.Rate,
		Burst:           x.team.Burst,
		Tokens:          level.Tokens,
		Borrowed:        level.Borrowed,
		Given:           level.Given,
		Limit:           level.Limit,
		NoOpeningsForMs: level.Throttled.Milliseconds(),
		HasToken:        prospect == share.HasToken,
	}
	switch prospect {
	case share.Exhausted:
		return x.refuseOverQuota(q)
	case share.NeedsLoan:
		e.Notes = append(e.Notes, noteLoan)
	}
	return nil
}

// explainPick adds the service's upstreams, and the choice unless the request is
// refused before.
func (x *exchange) explainPick(e *Explanation, refused *refusal) {
	var versions []string
	if x.route.ResumableStream() {
		versions = x.proxy.Streams.ListedVersions(x.service.Name)
	}
	picked := x.proxy.Picker.Explain(x.proxy.Views.View(), x.pickRequest(nil, versions, x.peekCold))
	for _, a := range picked.Upstreams {
		e.Upstreams = append(e.Upstreams, explainUpstream(a))
	}
	switch {
	case refused != nil:
		e.refuse(refused)
	case picked.Choice == nil:
		e.refuse(refuseNoCapacity("no upstream can take the request"))
	default:
		e.Choice = &ChoiceExplanation{Upstream: picked.Choice.ID, Reason: picked.Reason}
	}
}

// peekCold is admitCold without taking a token.
func (x *exchange) peekCold(u *site.Upstream) bool {
	if x.service.ColdPerSecond <= 0 {
		return true
	}
	_, prospect := x.proxy.Quotas.Peek(x.coldQuota(u), false)
	return prospect == share.HasToken
}

func explainUpstream(a pick.Assessment) UpstreamExplanation {
	state := stateReady
	if a.Upstream.State == site.Draining {
		state = stateDraining
	}
	return UpstreamExplanation{
		ID:            a.Upstream.ID,
		State:         state,
		FailureDomain: a.Upstream.FailureDomain,
		Version:       a.Upstream.SoftwareVersion,
		InFlight:      a.State.InFlight,
		Fill:          a.State.Fill,
		ColdForMs:     a.ColdFor.Milliseconds(),
		EjectedForMs:  a.State.EjectedForMs,
		ExcludedBy:    a.Exclusions,
	}
}
