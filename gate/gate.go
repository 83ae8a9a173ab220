package gate

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/buckthorntide/buckthorntide/pick"
	"github.com/buckthorntide/buckthorntide/share"
	"github.com/buckthorntide/buckthorntide/site"
	"github.com/buckthorntide/buckthorntide/turns"
)

type (
	// Views tell what is known of the deployment.
	Views interface {
		View() *site.View
		// Age is how old the knowledge of routes and keys is at most; ok is false
		// before there is any.
		Age(now time.Duration) (age time.Duration, ok bool)
		// Away tells whether the store seems to be away for all instances.
		Away() bool
	}

	// Quotas admit requests.
	Quotas interface {
		Admit(ctx context.Context, q share.Quota, opens bool, patience time.Duration) bool
		AdmitLocal(q share.Quota) bool
		Return(q share.Quota)
		Level(q share.Quota) share.Level
	}

	// Budgets hold programs to their tokens.
	Budgets interface {
		Reserve(ctx context.Context, program string, total, most int, now time.Duration) error
		Settle(program string, most, tokens int)
	}

	// Turns keep and find turns of conversations.
	Turns interface {
		Keep(ctx context.Context, t *turns.Turn) error
		Chain(ctx context.Context, team, id string) ([]*turns.Turn, error)
	}

	// Picker chooses upstreams.
	Picker interface {
		Pick(view *site.View, need pick.Need) *site.Upstream
		Done(upstream string, outcome pick.Outcome, now time.Duration)
		Report(upstream string, load pick.Load, now time.Duration)
		// Suspect notes that the upstream is silent for long and tells whether a
		// request had better leave it.
		Suspect(view *site.View, service, upstream string, now time.Duration) bool
		// Home returns where the program last ran, or an empty text.
		Home(program string, now time.Duration) string
	}

	// Config has what a gate is set to.
	Config struct {
		// FailureDomain is this instance's.
		FailureDomain string
		// KeyMaxAge is how old the knowledge of keys may be for a key to count.
		KeyMaxAge time.Duration
		// RouteMaxAge is how old the knowledge of routes may be for a missing
		// route to be told as such.
		RouteMaxAge time.Duration
		// QuotaWindow is the span in which a team may send its rate and its burst.
		QuotaWindow time.Duration
		// ColdBurst is how many requests beyond its rate a cold upstream bears in
		// a second, as a share of the rate.
		ColdBurst float64
	}

	// Parts are what a gate is made of.
	Parts struct {
		Log       hclog.Logger
		Metrics   metrics.Registry
		Codec     Codec
		Views     Views
		Quotas    Quotas
		Budgets   Budgets
		Turns     Turns
		Picker    Picker
		Transport http.RoundTripper
	}

	// Gate is the handler of callers' requests. It is safe for concurrent use.
	Gate struct {
		Parts
		meter  *meter
		attempts  *attempts
		config atomic.Pointer[Config]
		// leaving is closed once callers should go elsewhere.
		leaving chan struct{}
	}
)

// NewGate returns a gate of the parts.
func NewGate(parts Parts, config Config) *Gate {
	g := &Gate{Parts: parts, meter: newMeter(parts.Metrics), attempts: newAttempts(), leaving: make(chan struct{})}
	g.Configure(config)
	return g
}

// Configure sets the gate anew, for requests that come from now on.
func (g *Gate) Configure(config Config) { g.config.Store(&config) }

// Leave asks callers with open connections to go elsewhere. It must be called
// once at most.
func (g *Gate) Leave() { close(g.leaving) }

// ServeHTTP takes one request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-g.leaving:
		w.Header().Set("Connection", "close")
	default:
	}
	x := newExchange(g, w, r)
	defer x.report()
	if !x.admit() {
		return
	}
	defer x.release()
	x.forward()
}
