// Package orders brings the model engines into line with the text: an engine
// that does not serve a model of its service is ordered to load it. Only the
// service's home orders, one load at a time, each under a fencing number, and
// within the weight store's rate over the whole fleet.
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
	// lookInterval is the time between two looks at what an engine serves.
	lookInterval = 5 * time.Second
	// lookTimeout bounds one look.
	lookTimeout = 2 * time.Second
	// giveInterval is the time between two tries to give an order.
	giveInterval = time.Second
	// retryInterval is how long an engine that an order failed at is left alone.
	retryInterval = 30 * time.Second
	// loadTimeout is how long an engine may take to load what it was ordered
	// to; until then no other engine of its service is ordered.
	loadTimeout = 5 * time.Minute
)

// Runner gives orders for the services whose home this instance is. All of its
// state belongs to the control thread.
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
	// giving says that an order is under way.
	giving   bool
	nextGive time.Time
	// attempts numbers the transactions, so that no two share a request id.
	attempts int64
	group    *group.Group
}

// NewRunner returns a runner without engines. The holder must name this run of
// the instance: no other run, earlier or later, may use it.
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

// Close ends looks and orders under way and waits for them.
func (r *Runner) Close() { r.group.Close() }

// SetText follows the text; it runs on the control thread.
func (r *Runner) SetText(text *conf.Text, now time.Time) {
	r.text = text
	r.budget.SetRate(text.WeightStore.LoadsPerMinute, now)
	before := r.upstreams
	r.upstreams = make(map[string]*upstream)
	for _, s := range text.Services {
		if s.Kind != conf.KindModel {
			continue
		}
		for _, c := range s.Upstreams {
			u, ok := before[c.Name]
			if !ok || !u.follow(s, c) {
				u = newUpstream(s, c, r.holder)
			}
			r.upstreams[c.Name] = u
		}
	}
}

// SetAuthority follows the fleet; it runs on the control thread.
func (r *Runner) SetAuthority(s fleet.Shard, a fleet.Authority, _ time.Time) { r.authority[s] = a }

// HandOver gives up the shards of a planned move; it runs on the control
// thread.
func (r *Runner) HandOver(o fleet.Handover, now time.Time) {
	for _, s := range o.Shards.Shards() {
		r.SetAuthority(s, fleet.Authority{}, now)
	}
}

// Lost does nothing: what another instance has sent is waited out by its lease.
func (r *Runner) Lost(string, time.Time) {}

// Tick looks at the engines that are due and gives the next order; it runs on
// the control thread.
func (r *Runner) Tick(now time.Time) {
	for _, u := range r.upstreams {
		if !r.holds(u, now) {
			u.known = false
			continue
		}
		r.look(u, now)
	}
	if r.giving || now.Before(r.nextGive) || r.text.WeightStore.LoadsPerMinute <= 0 {
		return
	}
	u := r.next(now)
	if u == nil {
		return
	}
	r.giving, r.nextGive = true, now.Add(giveInterval)
	a := &attempt{upstream: u, target: u.target, model: u.missing()[0]}
	r.group.Go(func(ctx context.Context) { r.give(ctx, a) })
}

// States returns what is known of the engines of this home, by name; it runs on
// the control thread.
func (r *Runner) States(now time.Time) []State {
	var out []State
	for _, u := range r.upstreams {
		if r.holds(u, now) {
			out = append(out, u.state())
		}
	}
	slices.SortFunc(out, func(a, b State) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

// holds says that this instance alone may order the engine.
func (r *Runner) holds(u *upstream, now time.Time) bool {
	return r.upstreams[u.config.Name] == u && r.authority[fleet.ShardOf(u.service)].At(now).Exclusive
}

// next returns the engine that has waited longest for an order, or nil.
func (r *Runner) next(now time.Time) *upstream {
	var first *upstream
	busy := r.busy(now)
	for _, u := range r.upstreams {
		if _, ok := busy[u.service]; ok || now.Before(u.nextTry) || len(u.missing()) == 0 {
			continue
		}
		if first == nil || before(u, first) {
			first = u
		}
	}
	return first
}

// busy returns the services of which an engine is loading.
func (r *Runner) busy(now time.Time) map[string]struct{} {
	out := make(map[string]struct{})
	for _, u := range r.upstreams {
		if u.loading(now) {
			out[u.service] = struct{}{}
		}
	}
	return out
}

func before(a, b *upstream) bool {
	if !a.nextTry.Equal(b.nextTry) {
		return a.nextTry.Before(b.nextTry)
	}
	return a.config.Name < b.config.Name
}

// look asks the engine what it serves, unless an earlier question is open.
func (r *Runner) look(u *upstream, now time.Time) {
	if u.looking || now.Before(u.nextLook) {
		return
	}
	u.looking, u.nextLook = true, now.Add(lookInterval)
	target, given := u.target, u.given
	r.group.Go(func(ctx context.Context) {
		serving, err := r.ask(ctx, target)
		_ = r.thread.Do(ctx, func(time.Time) {
			u.looking = false
			if u.given == given {
				u.looked(serving, err)
			}
		})
	})
}

func (r *Runner) ask(ctx context.Context, t engine.Target) (engine.Serving, error) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	return r.engines.Serving(ctx, t)
}
