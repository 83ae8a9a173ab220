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
		// models are those that the engine should serve according to the text.
		models []string
		orders *engine.Orders
		// served are the models of the last probe; known is set if it succeeded.
		served []string
		known  bool

		probing   bool
		nextProbe time.Time
		// nextTry is the earliest time of the next order.
		nextTry time.Time
		// loadingUntil is the deadline of the load that the engine accepted.
		loadingUntil time.Time
		// orderCount counts orders; the reply of a probe that began before the last
		// order is outdated.
		orderCount int
		err        error
	}

	// State is the runner's view of one engine, as the dump shows it.
	State struct {
		Upstream string `json:"upstream"`
		Service  string `json:"service"`
		// Serves are the models of the last probe; Known is set if it succeeded.
		Serves []string `json:"serves"`
		Known  bool     `json:"known"`
		// Missing are the models that the engine should serve and doesn't.
		Missing []string `json:"missing"`
		// Fence is the last known fencing number in the table.
		Fence int64 `json:"fence"`
		// Error is why the last probe or order failed, or empty.
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

// update applies the text's settings of the engine. It returns false if the
// address, the service or the kind of fencing has changed, since the engine
// then needs a new engine.Orders.
func (u *upstream) update(s conf.Service, c conf.Upstream) bool {
	if u.config.Address != c.Address || u.config.ChecksFence != c.ChecksFence || u.service != s.Name {
		return false
	}
	u.config, u.models = c, s.Models
	u.target.Credential = s.Credential
	return true
}

// applyProbe records the outcome of a probe.
func (u *upstream) applyProbe(serving engine.Serving, err error) {
	u.known, u.err = err == nil, err
	if err != nil {
		return
	}
	u.served = serving.Models
	u.orders.ObserveFence(serving.Fence)
}

// loading reports whether the engine has accepted a load that its probes don't
// show yet.
func (u *upstream) loading(now time.Time) bool {
	return now.Before(u.loadingUntil) && len(u.missing()) > 0
}

// missing returns the models that the engine should serve and doesn't, in the
// order of the text; none unless the last probe succeeded.
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
