package pools

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/ctrl"
	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/homes"
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/route"
	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// awaitRelaysTimeout is how long a new home waits for the relay instances
	// to list their running calls before it assigns calls to cold upstreams.
	awaitRelaysTimeout = 3 * time.Second
	// relayedTimeout bounds one query for running calls, and one cancellation
	// at an engine.
	relayedTimeout = 2 * time.Second
	// maxCachedPrograms bounds the programs in a service's cache index.
	maxCachedPrograms = 100_000
)

type (
	// Viewer provides the latest view of the fleet.
	Viewer interface {
		View() *fleet.View
	}

	// Policy routes the calls of one service; route.Pool and route.Naive are
	// policies.
	Policy interface {
		Configure(service conf.Service, excludedDomains []string, now time.Time) []route.Decision
		SetAuthority(exclusive bool, now time.Time) []route.Decision
		SetAdmission(newPrograms bool)
		SetWeights(weights []route.TeamWeight)
		AwaitRelays(relays []string, until time.Time)
		Adopt(s route.RelayState, now time.Time) []route.Decision
		RemoveRelay(relay string, now time.Time) []route.Decision
		Submit(c route.Call, now time.Time) []route.Decision
		Cancel(id string, now time.Time) []route.Decision
		Done(r route.Report, now time.Time) []route.Decision
		ObserveLoad(name string, l engine.Load, now time.Time) []route.Decision
		ObserveUnreachable(name string, now time.Time) []route.Decision
		Suspects(now time.Time) []route.Suspect
		AdoptSuspects(suspects []route.Suspect, now time.Time) []route.Decision
		Usable(now time.Time) bool
		Tick(now time.Time) []route.Decision
		State(now time.Time) route.State
	}

	// NewPolicy creates the policy of one service.
	NewPolicy func(index *engine.CacheIndex) Policy

	// Home assigns the calls of the services whose home this instance is. Only
	// the control thread accesses its state.
	Home struct {
		common    *common.Common
		thread    *ctrl.Thread
		conns     *peer.Conns
		relayer   *Relayer
		viewer    Viewer
		newPolicy NewPolicy
		router    *homes.Router
		engines   Engines
		prober    Prober
		programs  ProgramStates
		table     store.Table
		text      *conf.Text
		authority [fleet.ShardCount]fleet.Authority
		services  map[string]*service
		// remoteServices are the dependencies whose home is another instance.
		remoteServices map[string]*remoteService
		group          *group.Group
	}

	// service is the state of a service whose home this instance is.
	service struct {
		config  conf.Service
		policy  Policy
		index   *engine.CacheIndex
		waiting map[string]chan route.Decision
		// endedAttempts holds the attempts that were reported as ended while
		// the relay instances' lists of running calls were still awaited.
		endedAttempts    map[attemptKey]struct{}
		awaitRelaysUntil time.Time

		nextProbe time.Time
		// probing holds the upstreams with a probe in flight.
		probing   map[string]bool
		nextSweep time.Time
		sweeping  bool
		sweeper   *engine.Sweeper
		suspects  suspectState
	}
)

// NewHome returns a home without services.
func NewHome(
	c *common.Common,
	thread *ctrl.Thread,
	conns *peer.Conns,
	relayer *Relayer,
	router *homes.Router,
	engines Engines,
	prober Prober,
	programs ProgramStates,
	newPolicy NewPolicy,
) *Home {
	return &Home{
		common:         c.Part("pools"),
		thread:         thread,
		conns:          conns,
		relayer:        relayer,
		router:         router,
		newPolicy:      newPolicy,
		engines:        engines,
		prober:         prober,
		programs:       programs,
		text:           &conf.Text{},
		services:       make(map[string]*service),
		remoteServices: make(map[string]*remoteService),
		group:          group.NewGroup(context.Background()),
	}
}

// SetViewer sets the source of the fleet view; it must be called before the control
// thread starts.
func (h *Home) SetViewer(viewer Viewer) { h.viewer = viewer }

// Close cancels the requests in flight and waits until they have ended.
func (h *Home) Close() { h.group.Close() }

// Handlers returns the handlers of the home's remote methods.
func (h *Home) Handlers() []peer.Handler {
	return []peer.Handler{
		Submit.Handle(h.submit),
		Done.Handle(h.done),
		Cancel.Handle(h.cancel),
		Relayed.Handle(h.relayed),
		Usable.Handle(h.usable),
	}
}

// SetText applies a new text: it reconfigures, adds and drops services. It runs
// on the control thread.
func (h *Home) SetText(text *conf.Text, now time.Time) {
	h.text = text
	for name, s := range h.services {
		config, ok := text.Service(name)
		if !ok {
			h.dropService(name)
			continue
		}
		s.config = config
		h.configure(s, now)
	}
	for s := range h.authority {
		h.updateShard(fleet.Shard(s), now)
	}
}

// configure applies the text to one policy. Teams share full upstreams in
// proportion to their granted rates.
func (h *Home) configure(s *service, now time.Time) {
	weights := make([]route.TeamWeight, 0, len(h.text.Teams))
	for _, t := range h.text.Teams {
		weights = append(weights, route.TeamWeight{Team: t.Name, Weight: t.RatePerSecond})
	}
	s.policy.SetWeights(weights)
	h.apply(s, s.policy.Configure(s.config, h.text.DomainsOut, now))
}

// SetAuthority sets this instance's authority over a shard and adds or drops the
// shard's services; it runs on the control thread.
func (h *Home) SetAuthority(s fleet.Shard, a fleet.Authority, now time.Time) {
	h.dropExpired(s, now)
	h.authority[s] = a
	h.updateShard(s, now)
}

// HandOver drops the services of the shards that are moved to another home; it
// runs on the control thread.
func (h *Home) HandOver(o fleet.Handover, now time.Time) {
	for _, s := range o.Shards.Shards() {
		h.SetAuthority(s, fleet.Authority{}, now)
	}
}

// Tick advances every policy and starts the probes, sweeps and queries that are
// due; it runs on the control thread.
func (h *Home) Tick(now time.Time) {
	for name := range h.services {
		h.dropExpired(fleet.ShardOf(name), now)
	}
	h.queryDependencies(now)
	h.updateAdmission(now)
	for _, s := range h.services {
		exclusive := h.authority[fleet.ShardOf(s.config.Name)].At(now).Exclusive
		h.apply(s, s.policy.SetAuthority(exclusive, now))
		h.apply(s, s.policy.Tick(now))
		h.probe(s, now)
		h.sweep(s, now)
		h.syncSuspects(s, now)
	}
}

// States returns the states of all policies, for the state dump; it runs on the
// control thread.
func (h *Home) States(now time.Time) []route.State {
	out := make([]route.State, 0, len(h.services))
	for _, s := range h.services {
		out = append(out, s.policy.State(now))
	}
	return out
}

// updateShard adds or drops the services of a shard according to the authority.
func (h *Home) updateShard(shard fleet.Shard, now time.Time) {
	isHome := h.authority[shard].At(now).Slots > 0
	for i := range h.text.Services {
		config := h.text.Services[i]
		if fleet.ShardOf(config.Name) != shard {
			continue
		}
		_, found := h.services[config.Name]
		switch {
		case isHome && !found:
			h.addService(config, now)
		case !isHome && found:
			h.dropService(config.Name)
		}
	}
}

// addService makes this instance the home of a service and queries the relay
// instances for their running calls.
func (h *Home) addService(config conf.Service, now time.Time) {
	index := engine.NewCacheIndex(maxCachedPrograms)
	s := &service{
		config:        config,
		policy:        h.newPolicy(index),
		index:         index,
		waiting:       make(map[string]chan route.Decision),
		endedAttempts: make(map[attemptKey]struct{}),
		probing:       make(map[string]bool),
		sweeper:       engine.NewSweeper(engine.DefaultSweepLimits()),
	}
	s.suspects.ready = make(chan struct{})
	h.services[config.Name] = s
	members := h.viewer.View().Members
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Instance.Name)
	}
	s.awaitRelaysUntil = now.Add(relayedTimeout + awaitRelaysTimeout)
	s.policy.AwaitRelays(names, now.Add(awaitRelaysTimeout))
	h.configure(s, now)
	for _, m := range members {
		h.group.Go(func(ctx context.Context) { h.queryRelay(ctx, m, config.Name) })
	}
}

// dropExpired drops the services of a shard whose authority has expired, before
// a renewal is applied: another home may have decided in between, for example
// while this process was paused.
func (h *Home) dropExpired(shard fleet.Shard, now time.Time) {
	if h.authority[shard].At(now).Slots > 0 {
		return
	}
	for name := range h.services {
		if fleet.ShardOf(name) == shard {
			h.dropService(name)
		}
	}
}

// lookup returns a service if this instance is its home at that time, after it
// has updated the policy's authority.
func (h *Home) lookup(name string, now time.Time) (*service, bool) {
	shard := fleet.ShardOf(name)
	h.dropExpired(shard, now)
	s, ok := h.services[name]
	if ok {
		h.apply(s, s.policy.SetAuthority(h.authority[shard].At(now).Exclusive, now))
	}
	return s, ok
}

// dropService removes a service. Its waiting calls are submitted to the next
// home.
func (h *Home) dropService(name string) {
	s := h.services[name]
	delete(h.services, name)
	for _, c := range s.waiting {
		close(c)
	}
}

func (h *Home) queryRelay(ctx context.Context, m fleet.Member, name string) {
	ctx, cancel := context.WithTimeout(ctx, relayedTimeout)
	defer cancel()
	reply, err := h.listRelayed(ctx, m, &RelayedRequest{Service: name, HomeAddress: h.viewer.View().Self.Address})
	if err != nil {
		h.common.Log.Debug("cannot list running calls of relay instance", "instance", m.Instance.Name, "error", err)
		return
	}
	_ = h.thread.Post(ctx, func(now time.Time) {
		if s, ok := h.services[name]; ok {
			state := reply.received(now)
			state.Calls = slices.DeleteFunc(state.Calls, s.hasEnded)
			h.apply(s, s.policy.Adopt(state, now))
		}
	})
}

func (h *Home) listRelayed(ctx context.Context, m fleet.Member, q *RelayedRequest) (*RelayedReply, error) {
	if m.Instance.Name == h.viewer.View().Self.Name {
		return h.relayed(ctx, q)
	}
	conn, err := h.conns.To(m.Instance.Address)
	if err != nil {
		return nil, err
	}
	return Relayed.Call(ctx, conn, q)
}

func (h *Home) relayed(_ context.Context, q *RelayedRequest) (*RelayedReply, error) {
	return h.relayer.List(q, h.common.Clock.Now()), nil
}

// apply delivers assignments and refusals to the waiting calls, and starts the
// cancellations.
func (h *Home) apply(s *service, decisions []route.Decision) {
	for _, d := range decisions {
		if d.Kind == route.KindCancel {
			h.group.Go(func(ctx context.Context) { h.cancelRunning(ctx, s, d) })
		}
		if d.Kind != route.KindAssign && d.Kind != route.KindRefuse {
			continue
		}
		if c, ok := s.waiting[d.Call]; ok {
			delete(s.waiting, d.Call)
			c <- d
		}
	}
}

// cancelRunning cancels an attempt whose result is no longer needed.
func (h *Home) cancelRunning(ctx context.Context, s *service, d route.Decision) {
	ctx, cancel := context.WithTimeout(ctx, relayedTimeout)
	defer cancel()
	if s.config.Kind == conf.KindModel {
		target := engine.Target{Address: d.Cancel.Address, Credential: s.config.Credential}
		err := h.engines.CancelRequest(ctx, target, route.RequestID(d.Call, d.Cancel.Attempt))
		if err != nil {
			h.common.Log.Debug("cannot cancel request", "upstream", d.Cancel.Upstream, "error", err)
		}
	}
	_ = h.thread.Post(ctx, func(now time.Time) {
		h.apply(s, s.policy.Done(route.Report{
			Call:     d.Call,
			Upstream: d.Cancel.Upstream,
			Attempt:  d.Cancel.Attempt,
			Relay:    d.Relay,
			Outcome:  route.OutcomeCancelled,
		}, now))
	})
}

// Lost removes the waiting calls of a relay instance that no longer responds; it
// runs on the control thread.
func (h *Home) Lost(instance string, now time.Time) {
	for _, s := range h.services {
		h.apply(s, s.policy.RemoveRelay(instance, now))
	}
}

func (h *Home) submit(ctx context.Context, q *SubmitMessage) (*SubmitReply, error) {
	if err := h.awaitSuspects(ctx, q.Service); err != nil {
		return nil, err
	}
	c := make(chan route.Decision, 1)
	found := false
	err := h.thread.Do(ctx, func(now time.Time) {
		s, ok := h.lookup(q.Service, now)
		if found = ok; !ok {
			return
		}
		s.waiting[q.Call.ID] = c
		h.apply(s, s.policy.Submit(q.received(now), now))
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !found {
		return nil, peer.NotHome()
	}
	return h.await(ctx, q, c)
}

func (h *Home) await(ctx context.Context, q *SubmitMessage, c chan route.Decision) (*SubmitReply, error) {
	select {
	case d, ok := <-c:
		if !ok {
			return nil, peer.NotHome()
		}
		if d.Refuse != nil {
			return &SubmitReply{Refuse: newRefuseReply(d.Refuse)}, nil
		}
		return &SubmitReply{Assign: d.Assign}, nil
	case <-ctx.Done():
		_ = h.thread.Post(context.WithoutCancel(ctx), func(time.Time) {
			s, ok := h.services[q.Service]
			if ok && s.waiting[q.Call.ID] == c {
				delete(s.waiting, q.Call.ID)
			}
		})
		return nil, errors.Trace(ctx.Err())
	}
}

func (h *Home) done(ctx context.Context, q *DoneMessage) (*DoneReply, error) {
	err := h.withService(ctx, q.Service, func(s *service, now time.Time) {
		s.recordEnded(&q.Report, now)
		h.apply(s, s.policy.Done(q.Report, now))
	})
	if err != nil {
		return nil, err
	}
	return &DoneReply{}, nil
}

// recordEnded records an attempt's end that may arrive before a list of running
// calls that still contains the attempt.
func (s *service) recordEnded(r *route.Report, now time.Time) {
	if now.After(s.awaitRelaysUntil) {
		clear(s.endedAttempts)
		return
	}
	s.endedAttempts[attemptKey{r.Call, r.Attempt}] = struct{}{}
}

func (s *service) hasEnded(r route.Inflight) bool {
	_, ok := s.endedAttempts[attemptKey{r.Call.ID, r.Attempt}]
	return ok
}

func (h *Home) cancel(ctx context.Context, q *CancelMessage) (*CancelReply, error) {
	err := h.withService(ctx, q.Service, func(s *service, now time.Time) {
		h.apply(s, s.policy.Cancel(q.Call, now))
	})
	if err != nil {
		return nil, err
	}
	return &CancelReply{}, nil
}

func (h *Home) withService(ctx context.Context, name string, f func(s *service, now time.Time)) error {
	found := false
	err := h.thread.Do(ctx, func(now time.Time) {
		s, ok := h.lookup(name, now)
		if found = ok; ok {
			f(s, now)
		}
	})
	if err != nil {
		return errors.Trace(err)
	}
	if !found {
		return peer.NotHome()
	}
	return nil
}
