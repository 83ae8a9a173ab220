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
	// settleTime is how long a new home waits for what the relaying instances
	// have running before cold upstreams get work.
	settleTime = 3 * time.Second
	// relayedTimeout bounds one such question.
	relayedTimeout = 2 * time.Second
	// cachedPrograms bounds the programs whose caches a service's home knows.
	cachedPrograms = 100_000
)

type (
	// Viewer gives the latest view of the fleet.
	Viewer interface {
		View() *fleet.View
	}

	// Policy routes the calls of one service; route.Pool and route.Naive are
	// policies.
	Policy interface {
		Configure(service conf.Service, domainsOut []string, now time.Time) []route.Decision
		SetAuthority(exclusive bool, now time.Time) []route.Decision
		SetAdmission(newPrograms bool)
		SetWeights(weights []route.TeamWeight)
		SettleUntil(relays []string, until time.Time)
		Adopt(s route.RelayState, now time.Time) []route.Decision
		Forget(relay string, now time.Time) []route.Decision
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

	// NewPolicy makes the policy of one service.
	NewPolicy func(index *engine.CacheIndex) Policy

	// Home answers for the services whose home this instance is. All of its
	// state belongs to the control thread.
	Home struct {
		common    *common.Common
		thread    *ctrl.Thread
		conns     *peer.Conns
		relayer   *Relayer
		viewer    Viewer
		newPolicy NewPolicy
		router    *homes.Router
		engines   Engines
		plain     Plain
		programs  Lives
		table     store.Table
		text      *conf.Text
		authority [fleet.ShardCount]fleet.Authority
		services  map[string]*service
		// neighbours are the services elsewhere that those here depend on.
		neighbours map[string]*neighbour
		group      *group.Group
	}

	// service is one service that this instance is the home of.
	service struct {
		config  conf.Service
		policy  Policy
		index   *engine.CacheIndex
		waiting map[string]chan route.Decision
		// ended holds the attempts that were reported as ended while the
		// relaying instances were still being asked what they have running.
		ended      map[attemptKey]struct{}
		askedUntil time.Time

		nextProbe time.Time
		// probing holds the engines that have a question open.
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
	plain Plain,
	programs Lives,
	newPolicy NewPolicy,
) *Home {
	return &Home{
		common:     c.Part("pools"),
		thread:     thread,
		conns:      conns,
		relayer:    relayer,
		router:     router,
		newPolicy:  newPolicy,
		engines:    engines,
		plain:      plain,
		programs:   programs,
		text:       &conf.Text{},
		services:   make(map[string]*service),
		neighbours: make(map[string]*neighbour),
		group:      group.NewGroup(context.Background()),
	}
}

// Follow sets whose view names the other instances; it must be called before
// the control thread starts.
func (h *Home) Follow(viewer Viewer) { h.viewer = viewer }

// Close waits for questions under way.
func (h *Home) Close() { h.group.Close() }

// Handlers are the remote methods that the home answers.
func (h *Home) Handlers() []peer.Handler {
	return []peer.Handler{
		Submit.Handle(h.submit),
		Done.Handle(h.done),
		Cancel.Handle(h.cancel),
		Relayed.Handle(h.relayed),
		Usable.Handle(h.usable),
	}
}

// SetText brings the services into line with the text; it runs on the control
// thread.
func (h *Home) SetText(text *conf.Text, now time.Time) {
	h.text = text
	for name, s := range h.services {
		config, ok := text.Service(name)
		if !ok {
			h.drop(name)
			continue
		}
		s.config = config
		h.configure(s, now)
	}
	for s := range h.authority {
		h.follow(fleet.Shard(s), now)
	}
}

// configure brings one policy into line with the text. Teams share full
// upstreams by what they have been granted.
func (h *Home) configure(s *service, now time.Time) {
	weights := make([]route.TeamWeight, 0, len(h.text.Teams))
	for _, t := range h.text.Teams {
		weights = append(weights, route.TeamWeight{Team: t.Name, Weight: t.RatePerSecond})
	}
	s.policy.SetWeights(weights)
	h.apply(s, s.policy.Configure(s.config, h.text.DomainsOut, now))
}

// SetAuthority follows the fleet; it runs on the control thread.
func (h *Home) SetAuthority(s fleet.Shard, a fleet.Authority, now time.Time) {
	h.dropLapsed(s, now)
	h.authority[s] = a
	h.follow(s, now)
}

// HandOver gives up the shards of a planned move; it runs on the control
// thread.
func (h *Home) HandOver(o fleet.Handover, now time.Time) {
	for _, s := range o.Shards.Shards() {
		h.SetAuthority(s, fleet.Authority{}, now)
	}
}

// Tick runs every policy once; it runs on the control thread.
func (h *Home) Tick(now time.Time) {
	for name := range h.services {
		h.dropLapsed(fleet.ShardOf(name), now)
	}
	h.askNeighbours(now)
	h.admit(now)
	for _, s := range h.services {
		exclusive := h.authority[fleet.ShardOf(s.config.Name)].At(now).Exclusive
		h.apply(s, s.policy.SetAuthority(exclusive, now))
		h.apply(s, s.policy.Tick(now))
		h.probe(s, now)
		h.sweep(s, now)
		h.keepSuspects(s, now)
	}
}

// States returns every policy's state; it runs on the control thread.
func (h *Home) States(now time.Time) []route.State {
	out := make([]route.State, 0, len(h.services))
	for _, s := range h.services {
		out = append(out, s.policy.State(now))
	}
	return out
}

// follow takes up or drops the services of a shard.
func (h *Home) follow(shard fleet.Shard, now time.Time) {
	holds := h.authority[shard].At(now).Seats > 0
	for i := range h.text.Services {
		config := h.text.Services[i]
		if fleet.ShardOf(config.Name) != shard {
			continue
		}
		_, known := h.services[config.Name]
		switch {
		case holds && !known:
			h.takeUp(config, now)
		case !holds && known:
			h.drop(config.Name)
		}
	}
}

// takeUp becomes the home of a service: the relaying instances are asked what
// they have running.
func (h *Home) takeUp(config conf.Service, now time.Time) {
	index := engine.NewCacheIndex(cachedPrograms)
	s := &service{
		config:  config,
		policy:  h.newPolicy(index),
		index:   index,
		waiting: make(map[string]chan route.Decision),
		ended:   make(map[attemptKey]struct{}),
		probing: make(map[string]bool),
		sweeper: engine.NewSweeper(engine.DefaultSweepLimits()),
	}
	s.suspects.asked = make(chan struct{})
	h.services[config.Name] = s
	members := h.viewer.View().Members
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Instance.Name)
	}
	s.askedUntil = now.Add(relayedTimeout + settleTime)
	s.policy.SettleUntil(names, now.Add(settleTime))
	h.configure(s, now)
	for _, m := range members {
		h.group.Go(func(ctx context.Context) { h.askRelayed(ctx, m, config.Name) })
	}
}

// dropLapsed gives up the services of a shard whose authority has lapsed, also
// if it was renewed since: another home may have decided in between, as while
// this process was paused.
func (h *Home) dropLapsed(shard fleet.Shard, now time.Time) {
	if h.authority[shard].At(now).Seats > 0 {
		return
	}
	for name := range h.services {
		if fleet.ShardOf(name) == shard {
			h.drop(name)
		}
	}
}

// service returns a service that this instance is the home of now, with the
// authority that holds now.
func (h *Home) service(name string, now time.Time) (*service, bool) {
	shard := fleet.ShardOf(name)
	h.dropLapsed(shard, now)
	s, ok := h.services[name]
	if ok {
		h.apply(s, s.policy.SetAuthority(h.authority[shard].At(now).Exclusive, now))
	}
	return s, ok
}

// drop gives a service up; who waits asks the next home.
func (h *Home) drop(name string) {
	s := h.services[name]
	delete(h.services, name)
	for _, c := range s.waiting {
		close(c)
	}
}

func (h *Home) askRelayed(ctx context.Context, m fleet.Member, name string) {
	ctx, cancel := context.WithTimeout(ctx, relayedTimeout)
	defer cancel()
	reply, err := h.callRelayed(ctx, m, &RelayedRequest{Service: name, Asker: h.viewer.View().Self.Address})
	if err != nil {
		h.common.Log.Debug("An instance did not say what it relays.", "instance", m.Instance.Name, "error", err)
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

func (h *Home) callRelayed(ctx context.Context, m fleet.Member, q *RelayedRequest) (*RelayedReply, error) {
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

// apply hands decisions to the calls that wait for them.
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

// cancelRunning ends an attempt that nobody waits for any more.
func (h *Home) cancelRunning(ctx context.Context, s *service, d route.Decision) {
	ctx, cancel := context.WithTimeout(ctx, relayedTimeout)
	defer cancel()
	if s.config.Kind == conf.KindModel {
		target := engine.Target{Address: d.Cancel.Address, Credential: s.config.Credential}
		err := h.engines.CancelRequest(ctx, target, route.RequestID(d.Call, d.Cancel.Attempt))
		if err != nil {
			h.common.Log.Debug("A request was not cancelled.", "upstream", d.Cancel.Upstream, "error", err)
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

// Lost forgets what a relaying instance that no longer answers has waiting; it
// runs on the control thread.
func (h *Home) Lost(instance string, now time.Time) {
	for _, s := range h.services {
		h.apply(s, s.policy.Forget(instance, now))
	}
}

func (h *Home) submit(ctx context.Context, q *SubmitMessage) (*SubmitReply, error) {
	if err := h.awaitSuspects(ctx, q.Service); err != nil {
		return nil, err
	}
	c := make(chan route.Decision, 1)
	known := false
	err := h.thread.Do(ctx, func(now time.Time) {
		s, ok := h.service(q.Service, now)
		if known = ok; !ok {
			return
		}
		s.waiting[q.Call.ID] = c
		h.apply(s, s.policy.Submit(q.received(now), now))
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !known {
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
	err := h.onService(ctx, q.Service, func(s *service, now time.Time) {
		s.noteEnded(&q.Report, now)
		h.apply(s, s.policy.Done(q.Report, now))
	})
	if err != nil {
		return nil, err
	}
	return &DoneReply{}, nil
}

// noteEnded remembers an end that may come before the list of what ran.
func (s *service) noteEnded(r *route.Report, now time.Time) {
	if now.After(s.askedUntil) {
		clear(s.ended)
		return
	}
	s.ended[attemptKey{r.Call, r.Attempt}] = struct{}{}
}

func (s *service) hasEnded(f route.Inflight) bool {
	_, ok := s.ended[attemptKey{f.Call.ID, f.Attempt}]
	return ok
}

func (h *Home) cancel(ctx context.Context, q *CancelMessage) (*CancelReply, error) {
	err := h.onService(ctx, q.Service, func(s *service, now time.Time) {
		h.apply(s, s.policy.Cancel(q.Call, now))
	})
	if err != nil {
		return nil, err
	}
	return &CancelReply{}, nil
}

func (h *Home) onService(ctx context.Context, name string, f func(s *service, now time.Time)) error {
	known := false
	err := h.thread.Do(ctx, func(now time.Time) {
		s, ok := h.service(name, now)
		if known = ok; ok {
			f(s, now)
		}
	})
	if err != nil {
		return errors.Trace(err)
	}
	if !known {
		return peer.NotHome()
	}
	return nil
}
