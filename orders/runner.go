// Package orders reconciles the model engines with the text: it orders an engine
// to load each model of its service that it doesn't serve. Only the service's
// home sends orders. They carry fencing numbers, load one model at a time, and
// keep to the rate of the weight store over the whole fleet.
package orders

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/ctrl"
	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// probeInterval is the time between two probes of an engine.
	probeInterval = 5 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 2 * time.Second
	// orderInterval is the time between two attempts to send an order.
	orderInterval = time.Second
	// retryInterval is the delay before an engine gets another order after one
	// has failed.
	retryInterval = 30 * time.Second
	// loadTimeout bounds the load of a model after the engine accepted the order;
	// meanwhile no other engine of its service gets an order.
	loadTimeout = 5 * time.Minute
)

// Runner sends orders to the engines of the services whose home this instance
// is. All of its state belongs to the control thread.
type Runner struct {
	common    *common.Common
	holder    string
	thread    *ctrl.Thread
	table     store.Table
	engines   Engines
	text      *conf.Text
	authority [fleet.ShardCount]fleet.Authority
	upstreams map[string]*upstream
	budget    *engine.LoadBudget
	// ordering is set while an order is in flight.
	ordering  bool
	nextOrder time.Time
	// requestCount makes the request ids of transactions unique.
	requestCount int64
	group        *group.Group
}

// NewRunner returns a runner without engines. The holder must identify this
// incarnation of the instance; no earlier or later one may use the same name.
func NewRunner(c *common.Common, holder string, thread *ctrl.Thread, table store.Table, engines Engines) *Runner {
	return &Runner{
		common:    c.Part("orders"),
		holder:    holder,
		thread:    thread,
		table:     table,
		engines:   engines,
		text:      &conf.Text{},
		upstreams: make(map[string]*upstream),
		budget:    engine.NewLoadBudget(engine.DefaultOrderLimits(), holder),
		group:     group.NewGroup(context.Background()),
	}
}

// Close cancels probes and orders in flight and waits for them to end.
func (r *Runner) Close() { r.group.Close() }

// SetText applies a revision of the text; it runs on the control thread.
func (r *Runner) SetText(text *conf.Text, now time.Time) {
	r.text = text
	r.budget.SetRate(text.WeightStore.LoadsPerMinute, now)
	previous := r.upstreams
	r.upstreams = make(map[string]*upstream)
	for _, s := range text.Services {
		if s.Kind != conf.KindModel {
			continue
		}
		for _, c := range s.Upstreams {
			u, ok := previous[c.Name]
			if !ok || !u.update(s, c) {
				u = newUpstream(s, c, r.holder)
			}
			r.upstreams[c.Name] = u
		}
	}
}

// SetAuthority sets the authority over a shard; it runs on the control thread.
func (r *Runner) SetAuthority(s fleet.Shard, a fleet.Authority, _ time.Time) { r.authority[s] = a }

// HandOver drops the authority over the shards of a planned handover; it runs on
// the control thread.
func (r *Runner) HandOver(o fleet.Handover, now time.Time) {
	for _, s := range o.Shards.Shards() {
		r.SetAuthority(s, fleet.Authority{}, now)
	}
}

// Lost does nothing: the next order waits until the leases of orders that the
// lost instance may have sent have expired.
func (r *Runner) Lost(string, time.Time) {}

// Tick probes the engines that are due and sends the next order; it runs on the
// control thread.
func (r *Runner) Tick(now time.Time) {
	for _, u := range r.upstreams {
		if !r.hasAuthority(u, now) {
			u.known = false
			continue
		}
		r.probe(u, now)
	}
	if r.ordering || now.Before(r.nextOrder) || r.text.WeightStore.LoadsPerMinute <= 0 {
		return
	}
	u := r.next(now)
	if u == nil {
		return
	}
	r.ordering, r.nextOrder = true, now.Add(orderInterval)
	a := &attempt{upstream: u, target: u.target, model: u.missing()[0]}
	r.group.Go(func(ctx context.Context) { r.runOrder(ctx, a) })
}

// States returns the state of the engines of this home, sorted by name; it runs
// on the control thread.
func (r *Runner) States(now time.Time) []State {
	var out []State
	for _, u := range r.upstreams {
		if r.hasAuthority(u, now) {
			out = append(out, u.state())
		}
	}
	slices.SortFunc(out, func(a, b State) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

// hasAuthority reports whether this instance alone may send orders to the engine.
func (r *Runner) hasAuthority(u *upstream, now time.Time) bool {
	return r.upstreams[u.config.Name] == u && r.authority[fleet.ShardOf(u.service)].At(now).Exclusive
}

// next returns the engine whose order has been due longest, or nil.
func (r *Runner) next(now time.Time) *upstream {
	var first *upstream
	loading := r.loadingServices(now)
	for _, u := range r.upstreams {
		if _, ok := loading[u.service]; ok || now.Before(u.nextTry) || len(u.missing()) == 0 {
			continue
		}
		if first == nil || precedes(u, first) {
			first = u
		}
	}
	return first
}

// loadingServices returns the services that have an engine loading a model.
func (r *Runner) loadingServices(now time.Time) map[string]struct{} {
	out := make(map[string]struct{})
	for _, u := range r.upstreams {
		if u.loading(now) {
			out[u.service] = struct{}{}
		}
	}
	return out
}

func precedes(a, b *upstream) bool {
	if !a.nextTry.Equal(b.nextTry) {
		return a.nextTry.Before(b.nextTry)
	}
	return a.config.Name < b.config.Name
}

// probe fetches what the engine serves if a probe is due and none is in flight.
// A reply is dropped if an order was sent meanwhile.
func (r *Runner) probe(u *upstream, now time.Time) {
	if u.probing || now.Before(u.nextProbe) {
		return
	}
	u.probing, u.nextProbe = true, now.Add(probeInterval)
	target, orderCount := u.target, u.orderCount
	r.group.Go(func(ctx context.Context) {
		serving, err := r.fetchServing(ctx, target)
		_ = r.thread.Do(ctx, func(time.Time) {
			u.probing = false
			if u.orderCount == orderCount {
				u.applyProbe(serving, err)
			}
		})
	})
}

func (r *Runner) fetchServing(ctx context.Context, t engine.Target) (engine.Serving, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return r.engines.Serving(ctx, t)
}
