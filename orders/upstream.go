package orders

import (
	"slices"
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/engine"
)

type (
	// upstream is one engine of a model service. It belongs to the control
	// thread.
	upstream struct {
		config  conf.Upstream
		service string
		target  engine.Target
		// models are those that the text wants the engine to serve.
		models []string
		orders *engine.Orders
		// served is what the engine said last; known says that it did.
		served []string
		known  bool

		looking  bool
		nextLook time.Time
		// nextTry is when an order may be tried next.
		nextTry time.Time
		// loadingUntil is how long an order that the engine accepted may take.
		loadingUntil time.Time
		// orders given so far; a look that was begun before the last is old.
		given int
		err   error
	}

	// State is what the runner knows of one engine.
	State struct {
		Upstream string `json:"upstream"`
		Service  string `json:"service"`
		// Serves is what the engine said last; Known says that it did.
		Serves []string `json:"serves"`
		Known  bool     `json:"known"`
		// Missing are the models that it will be ordered to load.
		Missing []string `json:"missing"`
		// Fence is the last fencing number that the table is known to hold.
		Fence int64 `json:"fence"`
		// Error is why the last look or order failed; empty means that it
		// didn't.
		Error string `json:"error,omitempty"`
	}
)

func newUpstream(s conf.Service, u conf.Upstream, holder string) *upstream {
	return &upstream{
		config:  u,
		service: s.Name,
		target:  engine.Target{Address: u.Address, Credential: s.Credential},
		models:  s.Models,
		orders:  engine.NewOrders(engine.DefaultOrderLimits(), u.Name, holder, u.ChecksFence),
	}
}

// follow takes what the text says. It returns false for another engine or
// another way of fencing, which needs orders of its own.
func (u *upstream) follow(s conf.Service, c conf.Upstream) bool {
	if u.config.Address != c.Address || u.config.ChecksFence != c.ChecksFence || u.service != s.Name {
		return false
	}
	u.config, u.models = c, s.Models
	u.target.Credential = s.Credential
	return true
}

// looked takes what the engine said that it serves.
func (u *upstream) looked(serving engine.Serving, err error) {
	u.known, u.err = err == nil, err
	if err != nil {
		return
	}
	u.served = serving.Models
	u.orders.ObserveFence(serving.Fence)
}

// loading says that the engine accepted a load which it doesn't show yet.
func (u *upstream) loading(now time.Time) bool {
	return now.Before(u.loadingUntil) && len(u.missing()) > 0
}

// missing returns the models that the engine should serve and doesn't, in the
// text's order; none unless the engine has answered.
func (u *upstream) missing() []string {
	var out []string
	for _, m := range u.models {
		if u.known && !slices.Contains(u.served, m) {
			out = append(out, m)
		}
	}
	return out
}

func (u *upstream) state() State {
	s := State{
		Upstream: u.config.Name,
		Service:  u.service,
		Serves:   slices.Clone(u.served),
		Known:    u.known,
		Missing:  u.missing(),
		Fence:    u.orders.Fence(),
	}
	if u.err != nil {
		s.Error = u.err.Error()
	}
	return s
}
