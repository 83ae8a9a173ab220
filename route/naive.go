package route

import (
	"slices"
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/engine"
)

// Controller is what a service's controller does. Pool and Naive do it.
type Controller interface {
	Configure(service conf.Service, domainsOut []string, now time.Time) []Decision
	Submit(c Call, now time.Time) []Decision
	Tick(now time.Time) []Decision
	Cancel(id string, now time.Time) []Decision
	Done(r Report, now time.Time) []Decision
	Forget(relay string, now time.Time) []Decision
	Adopt(s RelayState, now time.Time) []Decision
	SettleUntil(relays []string, until time.Time)
	SetAuthority(exclusive bool, now time.Time) []Decision
	SetAdmission(newPrograms bool)
	SetWeights(weights []TeamWeight)
	ObserveLoad(name string, l engine.Load, now time.Time) []Decision
	ObserveUnreachable(name string, now time.Time) []Decision
	Suspects(now time.Time) []Suspect
	AdoptSuspects(suspects []Suspect, now time.Time) []Decision
	Usable(now time.Time) bool
	State(now time.Time) State
}

var (
	_ Controller = (*Pool)(nil)
	_ Controller = (*Naive)(nil)
)

// Naive sends each call at once to the next upstream in turn and lets the
// upstreams queue, first come first served. It is what Pool is compared with.
type Naive struct {
	service   conf.Service
	upstreams []conf.Upstream
	next      int
	running   map[string]Decision
}

// NewNaive returns a naive controller without upstreams.
func NewNaive() *Naive {
	return &Naive{running: make(map[string]Decision)}
}

// Configure takes the upstreams whose failure domain isn't out.
func (n *Naive) Configure(service conf.Service, domainsOut []string, _ time.Time) []Decision {
	n.service = service
	n.upstreams = n.upstreams[:0]
	for _, u := range service.Upstreams {
		if !slices.Contains(domainsOut, u.FailureDomain) {
			n.upstreams = append(n.upstreams, u)
		}
	}
	return nil
}

// Submit assigns the call to the next upstream.
func (n *Naive) Submit(c Call, _ time.Time) []Decision {
	if d, ok := n.running[c.ID]; ok {
		return []Decision{d}
	}
	if len(n.upstreams) == 0 {
		refuse := &Refuse{Reason: ErrNoUpstream, RunState: RunStateNotRun, RetryAfter: unusableRetry}
		return []Decision{{Kind: KindRefuse, Call: c.ID, Relay: c.Relay, Refuse: refuse}}
	}
	u := n.upstreams[n.next%len(n.upstreams)]
	n.next++
	assign := &Assign{Upstream: u.Name, Address: u.Address, Attempt: 1}
	d := Decision{Kind: KindAssign, Call: c.ID, Relay: c.Relay, Assign: assign}
	n.running[c.ID] = d
	return []Decision{d}
}

// Done ends the call; a failure is refused and never tried again.
func (n *Naive) Done(r Report, _ time.Time) []Decision {
	d, ok := n.running[r.Call]
	if !ok {
		return nil
	}
	delete(n.running, r.Call)
	if !r.Outcome.retriable() {
		return nil
	}
	state := RunStateUnknown
	if r.Outcome.notBegun() {
		state = RunStateNotRun
	}
	refuse := &Refuse{Reason: ErrUpstreamFailed, RunState: state}
	return []Decision{{Kind: KindRefuse, Call: r.Call, Relay: d.Relay, Refuse: refuse}}
}

// Cancel asks for the end of the call at its upstream.
func (n *Naive) Cancel(id string, _ time.Time) []Decision {
	d, ok := n.running[id]
	if !ok {
		return nil
	}
	cancel := &Cancel{Upstream: d.Assign.Upstream, Address: d.Assign.Address, Attempt: d.Assign.Attempt}
	return []Decision{{Kind: KindCancel, Call: id, Relay: d.Relay, Cancel: cancel}}
}

// Tick does nothing.
func (n *Naive) Tick(time.Time) []Decision { return nil }

// Forget does nothing.
func (n *Naive) Forget(string, time.Time) []Decision { return nil }

// Adopt does nothing.
func (n *Naive) Adopt(RelayState, time.Time) []Decision { return nil }

// SettleUntil does nothing.
func (n *Naive) SettleUntil([]string, time.Time) {}

// SetAuthority does nothing.
func (n *Naive) SetAuthority(bool, time.Time) []Decision { return nil }

// SetAdmission does nothing.
func (n *Naive) SetAdmission(bool) {}

// SetWeights does nothing.
func (n *Naive) SetWeights([]TeamWeight) {}

// ObserveLoad does nothing.
func (n *Naive) ObserveLoad(string, engine.Load, time.Time) []Decision { return nil }

// ObserveUnreachable does nothing.
func (n *Naive) ObserveUnreachable(string, time.Time) []Decision { return nil }

// Suspects returns none.
func (n *Naive) Suspects(time.Time) []Suspect { return nil }

// AdoptSuspects does nothing.
func (n *Naive) AdoptSuspects([]Suspect, time.Time) []Decision { return nil }

// Usable says whether there is an upstream.
func (n *Naive) Usable(time.Time) bool { return len(n.upstreams) > 0 }

// State returns the little that there is.
func (n *Naive) State(time.Time) State {
	return State{Service: n.service.Name, Exclusive: true, Calls: len(n.running)}
}
