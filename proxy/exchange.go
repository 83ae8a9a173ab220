package proxy

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/budget"
	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/drain"
	"github.com/buckthorntide/buckthorntide/memory"
	"github.com/buckthorntide/buckthorntide/poison"
	"github.com/buckthorntide/buckthorntide/share"
	"github.com/buckthorntide/buckthorntide/site"
	"github.com/buckthorntide/buckthorntide/turns"
)

// writeMargin is how long after a caller's deadline its answer may still be written:
// one that is ready is delivered late.
const writeMargin = time.Second

// exchange is one caller's request while the proxy handles it.
type exchange struct {
	proxy  *Proxy
	w      http.ResponseWriter
	r      *http.Request
	call   Call
	view   *site.View
	config *Config
	route  *site.Route
	team   *site.Team
	// service is the route target that the request is sent to.
	service *site.Service
	start   time.Time
	// callerDeadline is when the caller stops waiting, routeDeadline when the
	// route's timeout ends.
	callerDeadline time.Time
	routeDeadline  time.Time
	// quota is set while the request holds a quota token that can be returned.
	quota           *share.Quota
	reservation     *budget.Reservation
	generatedTokens int
	// input is the body that the caller sent; body also has the previous turns and
	// is what upstreams receive.
	input     []byte
	body      []byte
	ancestors []string
	output    []byte
	// held owns the memory that is reserved for the fields above and for the answer.
	held *memory.Holder
	// versions are the software versions of upstreams that may go on with the stream
	// that the caller takes up; nil for a new one.
	versions []string
	// identified holds the request's fingerprints once they were needed.
	identified poison.Request
	// current is the attempt in flight.
	current *attempt
	// record holds the values of the final log line.
	record record
}

// admit reports whether the request may be forwarded. If it returns false, it
// has already answered the request.
func (x *exchange) admit() bool {
	steps := []struct {
		run  func() *refusal
		time *time.Duration
	}{
		{run: x.checkID},
		{run: x.findRoute},
		{run: x.checkKey},
		{run: x.readBody},
		{run: x.checkDrain},
		{run: x.checkCrashes},
		{x.takeQuota, &x.record.quotaTime},
		{x.findVersion, &x.record.resumeTime},
		{x.prependTurns, &x.record.turnsTime},
		{x.reserveBudget, &x.record.budgetTime},
	}
	for _, step := range steps {
		start := time.Now()
		refused := step.run()
		if step.time != nil {
			*step.time = time.Since(start)
		}
		if refused != nil {
			x.refuse(refused)
			x.returnQuota()
			return false
		}
	}
	return true
}

func newExchange(g *Proxy, w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{
		proxy:  g,
		w:      w,
		r:      r,
		call:   g.Codec.ReadCall(r),
		view:   g.Views.View(),
		config: g.config.Load(),
		start:  time.Now(),
		held:   g.Memory.Open(common.Uptime()),
		record: record{conn: drain.InfoOf(r.Context()), draining: g.drain.For()},
	}
}

// checkID refuses requests without an ID, since upstreams' answers are matched by it.
func (x *exchange) checkID() *refusal {
	if x.call.ID == "" {
		return &refusal{status: http.StatusBadRequest, reason: "the request has no ID"}
	}
	return nil
}

func (x *exchange) findRoute() *refusal {
	age, known := x.proxy.Views.Age(common.Uptime())
	x.record.configAge = age
	if !known || x.view.Version == 0 {
		return x.refuseUndecided("no configuration is known yet")
	}
	x.route = x.view.Route(x.call.Host, x.call.Path)
	if x.route == nil {
		if age > x.config.RouteMaxAge {
			return x.refuseUndecided("the route is unknown and the configuration may be old")
		}
		return &refusal{status: http.StatusNotFound, reason: "no route matches"}
	}
	x.routeDeadline = x.start.Add(x.route.Timeout)
	x.callerDeadline = x.routeDeadline
	if x.call.Timeout > 0 {
		x.callerDeadline = x.start.Add(x.call.Timeout)
	}
	x.service = x.view.Service(x.pickTarget())
	if x.service == nil {
		return refuseNotReady("the route's service is unknown")
	}
	return nil
}

// pickTarget chooses one of the route's services by weight. All requests of a
// program hash to the same one, and so do those that take up a stream.
func (x *exchange) pickTarget() string {
	targets := x.route.Targets
	if len(targets) == 0 {
		return ""
	}
	total := 0
	for _, t := range targets {
		total += max(0, t.Weight)
	}
	if len(targets) == 1 || total == 0 {
		return targets[0].Service
	}
	name := cmp.Or(x.call.Program, x.call.Resumes, x.call.ID)
	offset := int(xxhash.Sum64String(name) % uint64(total))
	for _, t := range targets {
		offset -= max(0, t.Weight)
		if offset < 0 {
			return t.Service
		}
	}
	return targets[0].Service
}

func (x *exchange) checkKey() *refusal {
	if x.route.Public {
		return nil
	}
	if refused := x.checkKeyAge(); refused != nil {
		return refused
	}
	x.team = x.view.TeamOfKey(x.call.Key)
	if x.team == nil {
		return &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
	}
	return nil
}

// checkKeyAge refuses every key while withdrawn ones may not be known.
func (x *exchange) checkKeyAge() *refusal {
	if x.record.configAge > x.config.KeyMaxAge {
		return x.refuseUndecided("keys may have been withdrawn since they were last read")
	}
	return nil
}

func (x *exchange) readBody() *refusal {
	limit := bodyLimit(x.view)
	if x.r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	if err := x.boundCaller(); err != nil {
		return &refusal{reason: "the caller's connection can't be bounded: " + err.Error(), abort: true}
	}
	x.held.Enter(memory.Reading, x.stopReading, common.Uptime())
	body, err := x.readAll(http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength, limit)
	stays := x.held.Enter(memory.Working, nil, common.Uptime())
	var tooLarge *http.MaxBytesError
	switch {
	case !stays || lacksMemory(err):
		return x.refuseUnread(err)
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	case err != nil:
		return &refusal{reason: "the caller broke off: " + err.Error(), abort: true}
	}
	drain.NoteRequestRead(x.r.Context())
	x.input, x.body = body, body
	return nil
}

// bodyLimit returns the configuration's limit on the bodies of requests.
func bodyLimit(view *site.View) int64 {
	if view.Limits.BodyBytes <= 0 {
		return defaultBodyBytes
	}
	return int64(view.Limits.BodyBytes)
}

// boundCaller bounds the read of the body, for a caller that sends no more of it, and
// the writes, for one that reads no more of its answer. The server lifts the first
// bound at the end of the body, and the second one after the request.
func (x *exchange) boundCaller() error {
	c := http.NewResponseController(x.w)
	if err := c.SetReadDeadline(x.deadline()); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(c.SetWriteDeadline(x.callerDeadline.Add(writeMargin)))
}

// readAll reads a body of the given length, or up to its end if that is negative.
func (x *exchange) readAll(r io.Reader, length, limit int64) ([]byte, error) {
	if length < 0 {
		// The reader fails for the byte beyond its limit.
		return x.readReserved(r, length, int(limit)+1)
	}
	body, err := x.readReserved(r, length, int(length))
	if err == nil && int64(len(body)) < length {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

func (x *exchange) takeQuota() *refusal {
	if x.team == nil || x.team.Rate <= 0 {
		return nil
	}
	q := x.teamQuota()
	opens := x.opensProgram()
	timeout := quotaTimeout
	if opens {
		timeout = openingQuotaTimeout
	}
	if !x.proxy.Quotas.Admit(x.r.Context(), q, opens, timeout) {
		x.record.quotaLevel = x.proxy.Quotas.Level(q).String()
		return x.refuseOverQuota(q)
	}
	x.quota = &q
	return nil
}

func (x *exchange) teamQuota() share.Quota {
	return share.NewQuota("team/"+x.team.Name, x.team.Rate, x.team.Burst, x.config.QuotaWindow)
}

func (x *exchange) refuseOverQuota(q share.Quota) *refusal {
	reason := fmt.Sprintf("the team's quota of %g a second and a burst of %g is used up", x.team.Rate, x.team.Burst)
	return &refusal{status: http.StatusTooManyRequests, reason: reason, retryAfter: quotaRetryAfter(q)}
}

// opensProgram reports whether the request looks like the first of a program.
func (x *exchange) opensProgram() bool {
	return x.call.Program != "" && x.service.Model != nil && x.call.PreviousTurn == "" &&
		x.proxy.Picker.LastUpstream(x.call.Program, common.Uptime()) == ""
}

func (x *exchange) returnQuota() {
	if x.quota != nil {
		x.proxy.Quotas.Return(*x.quota)
		x.quota = nil
	}
}

// prependTurns puts the turns that the request continues before its input.
func (x *exchange) prependTurns() *refusal {
	if !x.route.Conversation || x.call.PreviousTurn == "" {
		return nil
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline())
	defer cancel()
	chain, err := x.proxy.Turns.Chain(ctx, x.teamName(), x.call.PreviousTurn)
	if errors.Is(err, turns.ErrNoTurn) {
		return &refusal{status: http.StatusNotFound, reason: "no such turn"}
	}
	if err != nil {
		return x.refuseUndecided("the previous turn can't be looked up: " + err.Error())
	}
	size := len(x.input)
	for _, t := range chain {
		size += len(t.Input) + len(t.Output)
	}
	if err := x.reserve(size); err != nil {
		return x.refuseMemory(err)
	}
	x.body = make([]byte, 0, size)
	for _, t := range chain {
		x.body = append(append(x.body, t.Input...), t.Output...)
		x.ancestors = append(x.ancestors, t.ID)
	}
	x.body = append(x.body, x.input...)
	return nil
}

func (x *exchange) reserveBudget() *refusal {
	if !x.call.HasBudget || x.route.Kind != site.Stream || x.call.Program == "" {
		return nil
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline())
	defer cancel()
	var err error
	x.reservation, err = x.proxy.Budgets.Reserve(ctx, x.programKey(), x.call.Budget, x.call.MaxTokens)
	if err == nil {
		return nil
	}
	if errors.Is(err, budget.ErrSpent) {
		return &refusal{status: http.StatusPaymentRequired, reason: "the program's budget is spent"}
	}
	return x.refuseUndecided("the program's budget can't be read: " + err.Error())
}

// release settles the reserved budget, and returns the quota token if no
// upstream ran the request.
func (x *exchange) release() {
	if x.reservation != nil {
		x.reservation.Settle(x.generatedTokens)
	}
	if x.record.runs == 0 {
		x.returnQuota()
	}
}

// deadline returns when the answer is due at the latest.
func (x *exchange) deadline() time.Time {
	if x.routeDeadline.Before(x.callerDeadline) {
		return x.routeDeadline
	}
	return x.callerDeadline
}

// answerDeadline returns when the whole answer is due at the latest. The route's
// timeout bounds the start of a stream, the caller's its end.
func (x *exchange) answerDeadline() time.Time {
	if x.route.Kind == site.Stream {
		return x.callerDeadline
	}
	return x.deadline()
}

// programKey identifies the program among those of all teams.
func (x *exchange) programKey() string {
	return x.teamName() + "/" + x.call.Program
}

func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

func (x *exchange) priority() int {
	p := x.route.Priority
	if x.team != nil && x.team.HasPriority {
		p = x.team.Priority
	}
	return min(max(p, highestPriority), lowestPriority)
}

// repeatable reports whether the request may run more than once.
func (x *exchange) repeatable() bool {
	return x.route.Kind == site.Idempotent || (x.route.Kind == site.Stream && x.route.Resumable)
}
