package boot

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/admapi"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/keys"
	"github.com/buckthorntide/buckthorntide/orders"
	"github.com/buckthorntide/buckthorntide/prog"
	"github.com/buckthorntide/buckthorntide/route"
)

const (
	stateFit         = "fit"
	stateLeaving     = "leaving"
	stateUnreachable = "unreachable"
	stateUnfit       = "unfit"
	stateUsable      = "usable"
	stateUnusable    = "unusable"

	// dumpedPrograms is how many programs a dump shows.
	dumpedPrograms = 100
)

// dumpBody is the whole state of an instance, for people to read.
type dumpBody struct {
	Status    admapi.StatusResponse `json:"status"`
	Text      conf.Stamp            `json:"text"`
	Members   []fleet.Member        `json:"members"`
	Seats     []int                 `json:"seats"`
	Authority []dumpShard           `json:"authority"`
	Pools     []route.State         `json:"pools"`
	Orders    []orders.State        `json:"orders"`
	Programs  *prog.Dump            `json:"programs"`
	Carried   int                   `json:"carriedTurns"`
	Relayed   int                   `json:"relayedCalls"`
	Intents   int                   `json:"unsettledIntents"`
	Keys      int                   `json:"keys"`
	Streams   int                   `json:"watchedCalls"`
	Metrics   json.RawMessage       `json:"metrics"`
}

type dumpShard struct {
	Shard     int  `json:"shard"`
	Seats     int  `json:"seats"`
	Exclusive bool `json:"exclusive"`
}

// BeginDrain asks for a planned stop.
func (n *Node) BeginDrain() admapi.DrainResponse {
	if n.draining.CompareAndSwap(false, true) {
		close(n.drainAsked)
	}
	return admapi.DrainResponse{Draining: true, RunningCalls: n.entry.Running()}
}

// Status returns the instance's short report.
func (n *Node) Status() admapi.StatusResponse {
	now := n.common.Clock.Now()
	view := n.member.View()
	status := admapi.StatusResponse{
		Instance:       n.self.Name,
		FailureDomain:  n.self.FailureDomain,
		NotReadyReason: n.NotReady(),
		Draining:       n.draining.Load(),
		StoreReachable: n.spread.StoreReachable(),
		TextRevision:   n.spread.Stamp().Revision,
		DomainsOut:     n.spread.Text().DomainsOut,
		Seats:          len(view.Seats),
		Shards:         len(n.authority(view, now)),
		RunningCalls:   n.entry.Running(),
		StartedAt:      n.startedAt,
	}
	status.Ready = status.NotReadyReason == ""
	for _, m := range view.Members {
		status.Instances = append(status.Instances, admapi.Instance{
			Name:          m.Instance.Name,
			FailureDomain: m.Instance.FailureDomain,
			State:         memberState(m),
		})
	}
	n.addControlState(&status)
	return status
}

func (n *Node) addControlState(status *admapi.StatusResponse) {
	_ = n.thread.Do(context.Background(), func(now time.Time) {
		status.KeysRevision = n.spread.Keys(keys.CallerKind).Revision()
		for _, p := range n.pools.States(now) {
			status.Upstreams = append(status.Upstreams, upstreamStates(n.spread.Text(), p)...)
		}
	})
}

// Dump returns the instance's whole state.
func (n *Node) Dump(ctx context.Context) (json.RawMessage, error) {
	view := n.member.View()
	body := dumpBody{
		Status:    n.Status(),
		Text:      n.spread.Stamp(),
		Members:   view.Members,
		Seats:     view.Seats,
		Authority: n.authority(view, n.common.Clock.Now()),
		Programs:  n.keeper.Dump("", dumpedPrograms),
		Carried:   n.carrier.Len(),
		Relayed:   n.relayer.Len(),
		Intents:   n.intents.Pending(),
		Keys:      n.spread.Keys(keys.CallerKind).Len(),
		Streams:   n.watch.Len(),
	}
	err := n.thread.Do(ctx, func(now time.Time) { body.Pools, body.Orders = n.pools.States(now), n.orders.States(now) })
	if err != nil {
		return nil, errors.Trace(err)
	}
	body.Metrics, err = json.Marshal(n.common.Metrics)
	if err != nil {
		return nil, errors.Trace(err)
	}
	raw, err := json.Marshal(body)
	return raw, errors.Trace(err)
}

func (n *Node) authority(view *fleet.View, now time.Time) []dumpShard {
	var out []dumpShard
	for s := range fleet.ShardCount {
		a := view.Authority(fleet.Shard(s), now)
		if a.Seats > 0 {
			out = append(out, dumpShard{Shard: s, Seats: a.Seats, Exclusive: a.Exclusive})
		}
	}
	return out
}

func memberState(m fleet.Member) string {
	switch {
	case m.Leaving:
		return stateLeaving
	case !m.Reachable:
		return stateUnreachable
	case m.Fit:
		return stateFit
	default:
		return stateUnfit
	}
}

func upstreamStates(text *conf.Text, pool route.State) []admapi.Upstream {
	out := make([]admapi.Upstream, 0, len(pool.Upstreams))
	for _, u := range pool.Upstreams {
		state := stateUnusable
		if u.Usable {
			state = stateUsable
		}
		if u.Leaving {
			state = stateLeaving
		}
		config, _, _ := text.Upstream(u.Name)
		out = append(out, admapi.Upstream{
			Name:          u.Name,
			Service:       pool.Service,
			FailureDomain: config.FailureDomain,
			State:         state,
			Running:       u.Running,
		})
	}
	return out
}
