package route

import (
	"time"
)

type (
	// Counters are totals since the pool was created.
	Counters struct {
		Submitted  int64 `json:"submitted"`
		Assigned   int64 `json:"assigned"`
		Refused    int64 `json:"refused"`
		Retried    int64 `json:"retried"`
		Poisoned   int64 `json:"poisoned"`
		Crashes    int64 `json:"crashes"`
		Restarts   int64 `json:"restarts"`
		ColdResets int64 `json:"coldResets"`
		Lost       int64 `json:"lost"`
	}

	// State is a pool's state for operators.
	State struct {
		Service   string          `json:"service"`
		Exclusive bool            `json:"exclusive"`
		Settling  bool            `json:"settling"`
		Queued    int             `json:"queued"`
		Held      int             `json:"held"`
		Calls     int             `json:"calls"`
		Teams     int             `json:"teams"`
		Suspects  int             `json:"suspects"`
		Counters  Counters        `json:"counters"`
		Upstreams []UpstreamState `json:"upstreams"`
	}

	// UpstreamState is one upstream's state for operators.
	UpstreamState struct {
		Name      string `json:"name"`
		Usable    bool   `json:"usable"`
		Leaving   bool   `json:"leaving"`
		Running   int    `json:"running"`
		Waiting   int    `json:"waiting"`
		Allowance int    `json:"allowance"`
		Slots     int    `json:"slots"`
		Live      int    `json:"live"`
		Epoch     string `json:"epoch"`
	}
)

// State returns a snapshot of the pool.
func (p *Pool) State(now time.Time) State {
	s := State{
		Service:   p.service.Name,
		Exclusive: p.exclusive,
		Settling:  p.settling.active,
		Queued:    p.queued,
		Held:      len(p.held),
		Calls:     len(p.calls),
		Teams:     len(p.teams),
		Suspects:  len(p.suspects.rows),
		Counters:  p.counters,
	}
	for _, u := range p.byName {
		s.Upstreams = append(s.Upstreams, p.upstreamState(u, now))
	}
	return s
}

func (p *Pool) upstreamState(u *upstream, now time.Time) UpstreamState {
	return UpstreamState{
		Name:      u.Name,
		Usable:    u.usable(now),
		Leaving:   u.leaving,
		Running:   len(u.running),
		Waiting:   u.queue.size,
		Allowance: p.allowance(u, now),
		Slots:     u.ramp.slots,
		Live:      u.liveTokens,
		Epoch:     u.epoch,
	}
}
