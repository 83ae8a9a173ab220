package route

import (
	"slices"
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/engine"
)

// Controller is the controller of one service, implemented by Pool and Naive.
type Controller interface {
	Configure(service conf.Service, domainsOut []string, now time.Time) []Decision
	Submit(c Call, now time.Time) []Decision
	Tick(now time.Time) []Decision
	Cancel(id string, now time.Time) []Decision
	Done(r Report, now time.Time) []Decision
	RemoveRelay(relay string, now time.Time) []Decision
	Adopt(s RelayState, now time.Time) []Decision
	AwaitRelays(relays []string, until time.Time)
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

// Naive assigns each call at once by round robin and lets the upstreams queue,
// first come first served. Pool is measured against it.
type Naive struct {
	service   conf.Service
	upstreams []conf.Upstream
	next      int
	running   map[string]Decision
}

// NewNaive returns a controller without upstreams.
func NewNaive() *Naive {
	return &Naive{running: make(map[string]Decision)}
}

// Configure keeps the upstreams whose failure domain isn't out.
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
		refuse := &Refuse{Reason: ErrNoUpstream, RunState: RunStateNotRun, RetryAfter: unusableRetryDelay}
		return []Decision{{Kind: KindRefuse, Call: c.ID, Relay: c.Relay, Refuse: refuse}}
	}
	u := n.upstreams[n.next%len(n.upstreams)]
	n.next++
	assign := &Assign{Upstream: u.Name, Address: u.Address, Attempt: 1}
	d := Decision{Kind: KindAssign, Call: c.ID, Relay: c.Relay, Assign: assign}
	n.running[c.ID] = d
	return []Decision{d}
}

// Done ends the call; a failure is refused and never retried.
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

// Cancel asks for the cancellation of the call at its upstream.
func (n *Naive) Cancel(id string, _ time.Time) []Decision {
	d, ok := n.running[id]
	if !ok {
		return nil
	}
	cancel := &Cancel{Upstream: d.Assign.Upstream, Address: d.Assign.Address, Attempt: d.Assign.Attempt}
	return []Decision{{Kind: KindCancel, Call: id, Relay: d.Relay, Cancel: cancel}}
}

// Tick does nothing: calls have no deadlines here.
func (n *Naive) Tick(time.Time) []Decision { return nil }

// RemoveRelay does nothing: attempts of a lost relay run to their end.
func (n *Naive) RemoveRelay(string, time.Time) []Decision { return nil }

// Adopt does nothing: a new controller knows no running calls.
func (n *Naive) Adopt(RelayState, time.Time) []Decision { return nil }

// AwaitRelays does nothing, since there are no limits to protect.
func (n *Naive) AwaitRelays([]string, time.Time) {}

// SetAuthority does nothing, since calls are always admitted.
func (n *Naive) SetAuthority(bool, time.Time) []Decision { return nil }

// SetAdmission does nothing, since calls are always admitted.
func (n *Naive) SetAdmission(bool) {}

// SetWeights does nothing: teams share no queue here.
func (n *Naive) SetWeights([]TeamWeight) {}

// ObserveLoad does nothing, since load is ignored.
func (n *Naive) ObserveLoad(string, engine.Load, time.Time) []Decision { return nil }

// ObserveUnreachable does nothing, since no upstream is excluded.
func (n *Naive) ObserveUnreachable(string, time.Time) []Decision { return nil }

// Suspects returns none: crashes are not traced to requests.
func (n *Naive) Suspects(time.Time) []Suspect { return nil }

// AdoptSuspects does nothing: crashes are not traced to requests.
func (n *Naive) AdoptSuspects([]Suspect, time.Time) []Decision { return nil }

// Usable reports whether there is an upstream.
func (n *Naive) Usable(time.Time) bool { return len(n.upstreams) > 0 }

// State returns the name of the service and the number of calls.
func (n *Naive) State(time.Time) State {
	return State{Service: n.service.Name, Exclusive: true, Calls: len(n.running)}
}
