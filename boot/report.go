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

	// maxDumpedPrograms bounds the number of programs in a state dump.
	maxDumpedPrograms = 100
)

// dumpBody is the state dump of an instance, for operators to read.
type dumpBody struct {
	Status         admapi.StatusResponse `json:"status"`
	Text           conf.Stamp            `json:"text"`
	Members        []fleet.Member        `json:"members"`
	Slots          []int                 `json:"seats"`
	Authority      []dumpShard           `json:"authority"`
	Pools          []route.State         `json:"pools"`
	Orders         []orders.State        `json:"orders"`
	Programs       *prog.Dump            `json:"programs"`
	PendingTurns   int                   `json:"carriedTurns"`
	RelayedCalls   int                   `json:"relayedCalls"`
	PendingIntents int                   `json:"unsettledIntents"`
	Keys           int                   `json:"keys"`
	Streams        int                   `json:"watchedCalls"`
	Metrics        json.RawMessage       `json:"metrics"`
}

type dumpShard struct {
	Shard     int  `json:"shard"`
	Slots     int  `json:"seats"`
	Exclusive bool `json:"exclusive"`
}

// BeginDrain requests a planned stop and returns at once.
func (n *Node) BeginDrain() admapi.DrainResponse {
	if n.draining.CompareAndSwap(false, true) {
		close(n.drainRequested)
	}
	return admapi.DrainResponse{Draining: true, RunningCalls: n.entry.RunningRequests()}
}

// Status returns a summary of the instance's state, its peers and upstreams.
func (n *Node) Status() admapi.StatusResponse {
	now := n.common.Clock.Now()
	view := n.member.View()
	status := admapi.StatusResponse{
		Instance:       n.self.Name,
		FailureDomain:  n.self.FailureDomain,
		NotReadyReason: n.NotReadyReason(),
		Draining:       n.draining.Load(),
		StoreReachable: n.gossip.StoreReachable(),
		TextRevision:   n.gossip.Stamp().Revision,
		DomainsOut:     n.gossip.Text().DomainsOut,
		Seats:          len(view.Slots),
		Shards:         len(n.authority(view, now)),
		RunningCalls:   n.entry.RunningRequests(),
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
		status.KeysRevision = n.gossip.Keys(keys.CallerKind).Revision()
		for _, p := range n.pools.States(now) {
			status.Upstreams = append(status.Upstreams, upstreamStates(n.gossip.Text(), p)...)
		}
	})
}

// Dump returns the instance's state as JSON, with at most maxDumpedPrograms
// programs.
func (n *Node) Dump(ctx context.Context) (json.RawMessage, error) {
	view := n.member.View()
	body := dumpBody{
		Status:         n.Status(),
		Text:           n.gossip.Stamp(),
		Members:        view.Members,
		Slots:          view.Slots,
		Authority:      n.authority(view, n.common.Clock.Now()),
		Programs:       n.driver.Dump("", maxDumpedPrograms),
		PendingTurns:   n.pendingTurns.Len(),
		RelayedCalls:   n.relayer.Len(),
		PendingIntents: n.intents.Pending(),
		Keys:           n.gossip.Keys(keys.CallerKind).Len(),
		Streams:        n.streams.Len(),
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
		if a.Slots > 0 {
			out = append(out, dumpShard{Shard: s, Slots: a.Slots, Exclusive: a.Exclusive})
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
