package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/buckthorntide/buckthorntide/budget"
	"github.com/buckthorntide/buckthorntide/drain"
	"github.com/buckthorntide/buckthorntide/memory"
	"github.com/buckthorntide/buckthorntide/pick"
	"github.com/buckthorntide/buckthorntide/poison"
	"github.com/buckthorntide/buckthorntide/resume"
	"github.com/buckthorntide/buckthorntide/share"
	"github.com/buckthorntide/buckthorntide/site"
	"github.com/buckthorntide/buckthorntide/turns"
)

type (
	// Views provide the current view of the deployment.
	Views interface {
		View() *site.View
		// Age returns an upper bound on the age of the routes and keys in the
		// view; ok is false before the first read.
		Age(now time.Duration) (age time.Duration, ok bool)
		// StoreDown reports whether the store seems to be unreachable for all
		// instances.
		StoreDown() bool
	}

	// Quotas enforce the request rates of teams and of cold upstreams.
	Quotas interface {
		Admit(ctx context.Context, q share.Quota, opens bool, timeout time.Duration) bool
		AdmitLocal(q share.Quota) bool
		Return(q share.Quota)
		Level(q share.Quota) share.Level
		// Peek returns the level, and whether Admit would find a token, and takes none.
		Peek(q share.Quota, opens bool) (share.Level, share.Prospect)
	}

	// Budgets limit the tokens that a program may generate.
	Budgets interface {
		Reserve(ctx context.Context, program string, total, maxTokens int) (*budget.Reservation, error)
	}

	// Turns store and look up turns of conversations.
	Turns interface {
		Keep(ctx context.Context, t *turns.Turn) error
		Chain(ctx context.Context, team, id string) ([]*turns.Turn, error)
	}

	// Streams know the software versions of services and of open streams.
	Streams interface {
		// Versions returns those at which streams of the service may begin.
		Versions(ctx context.Context, service string) []string
		// ListedVersions returns those that are listed now, without waiting for others.
		ListedVersions(service string) []string
		// Began remembers the version that began a stream, whose caller waits for the
		// given time. After an error the stream must not begin.
		Began(s resume.Stream, origin resume.Origin, left time.Duration) error
		// Find returns the version at which a stream goes on.
		Find(ctx context.Context, s resume.Stream, service string, left time.Duration) (string, resume.Source, error)
	}

	// Picker chooses upstreams.
	Picker interface {
		Pick(view *site.View, need pick.Request) *site.Upstream
		// Explain returns what Pick would choose now, and why, and changes nothing.
		Explain(view *site.View, need pick.Request) pick.Explanation
		Done(upstream string, outcome pick.Outcome, now time.Duration)
		ReportLoad(upstream string, load pick.Load, now time.Duration)
		// ReportLeaving records that the upstream has announced its shutdown and
		// reports whether that is news.
		ReportLeaving(u *site.Upstream, now time.Duration) bool
		// ReportStalled records that the upstream has been silent for long and reports
		// whether a request should move to another one.
		ReportStalled(view *site.View, service, upstream string, versions []string, now time.Duration) bool
		// LastUpstream returns the upstream that last ran the program, or an empty string.
		LastUpstream(program string, now time.Duration) string
	}

	// Crashes know which requests crash the upstreams that run them.
	Crashes interface {
		// Tracks reports whether there is any crash to compare requests with.
		Tracks() bool
		// HeldFor returns how much longer the request must not run, or 0.
		HeldFor(r poison.Request) time.Duration
		// PeekHeldFor is HeldFor for a request that was not sent.
		PeekHeldFor(r poison.Request) time.Duration
		// MayRetry reports whether another upstream may run the request after one that
		// broke it off.
		MayRetry(r poison.Request) bool
		// Broke records that the upstream broke off the request, Answered that it answered
		// it whole.
		Broke(u *site.Upstream, r poison.Request)
		Answered(u *site.Upstream, r poison.Request)
	}

	// Config holds the settings that Configure can change at run time.
	Config struct {
		// FailureDomain is the one that this instance runs in.
		FailureDomain string
		// KeyMaxAge is the age of the view beyond which no key is accepted.
		KeyMaxAge time.Duration
		// RouteMaxAge is the age of the view beyond which a missing route is
		// answered with 503 instead of 404.
		RouteMaxAge time.Duration
		// QuotaWindow is the time in which a team may send its rate and its burst.
		QuotaWindow time.Duration
		// ColdBurst is how many requests beyond its rate a cold upstream can take
		// in a second, as a fraction of the rate.
		ColdBurst float64
	}

	// Deps are the proxy's dependencies.
	Deps struct {
		Log     hclog.Logger
		Metrics metrics.Registry
		Codec   Codec
		Views   Views
		Quotas  Quotas
		Budgets Budgets
		Turns   Turns
		Streams Streams
		Picker  Picker
		Crashes Crashes
		// Memory bounds what all requests hold.
		Memory *memory.Account
		// Transport returns relay.ErrNotSent for a request of which nothing was sent.
		Transport http.RoundTripper
	}

	// Proxy is the HTTP handler for callers' requests. It is safe for concurrent
	// use.
	Proxy struct {
		Deps
		meter    *meter
		attempts *attempts
		config   atomic.Pointer[Config]
		drain    drain.State
	}
)

// NewProxy returns a proxy with the given dependencies and settings.
func NewProxy(parts Deps, config Config) *Proxy {
	g := &Proxy{Deps: parts, meter: newMeter(parts.Metrics, parts.Memory), attempts: newAttempts()}
	g.Configure(config)
	return g
}

// Configure replaces the settings for requests that arrive from now on.
func (g *Proxy) Configure(config Config) { g.config.Store(&config) }

// ServeHTTP admits one request, forwards it and logs its outcome.
func (g *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := newExchange(g, w, r)
	defer x.report()
	defer x.held.Close()
	if !x.admit() {
		return
	}
	defer x.release()
	x.forward()
}
