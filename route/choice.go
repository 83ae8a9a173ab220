package route

import (
	"math"
	"slices"
	"time"

	"github.com/buckthorntide/buckthorntide/engine"
)

const (
	// recomputeWeight is how much the time to compute a lost prefix again counts
	// above a wait, since it also delays the engine's other calls.
	recomputeWeight = 4.0
	// loadWeight is how much a full batch counts, in service times.
	loadWeight = 0.25
	maxCost    = time.Duration(math.MaxInt64)
)

// choice is where a call best goes.
type choice struct {
	// upstream is nil if the call best waits for any of them.
	upstream *upstream
	// wait says that the upstream has no free slot.
	wait bool
	move *Move
	cost time.Duration
}

// choose weighs the upstreams that hold the program's prefix and those with a
// free slot.
func (p *Pool) choose(e *entry, now time.Time) choice {
	best := choice{cost: maxCost}
	var longest engine.Holding
	for _, h := range p.holdings(&e.Call) {
		h.Tokens = min(h.Tokens, e.PromptTokens)
		if h.Tokens > longest.Tokens {
			longest = h
		}
		best = p.chooseHolder(best, e, h, now)
	}
	return p.chooseFree(best, e, longest, now)
}

// holdings returns what is known of the program's prefix; the home's hints
// stand in where the index has nothing.
func (p *Pool) holdings(c *Call) []engine.Holding {
	p.holders = p.holders[:0]
	if p.index != nil {
		p.holders = p.index.Holders(c.Program, p.holders)
	}
	if len(p.holders) > 0 {
		return p.holders
	}
	for _, h := range c.CachedOn {
		p.holders = append(p.holders, engine.Holding{Engine: h.Upstream, Tokens: h.Tokens})
	}
	return p.holders
}

func (p *Pool) chooseHolder(best choice, e *entry, h engine.Holding, now time.Time) choice {
	u := p.upstreams[h.Engine]
	if u == nil || !u.usable(now) || slices.Contains(e.Avoid, u.Name) {
		return best
	}
	c := choice{upstream: u, wait: p.free(u, now) <= 0}
	c.cost = p.estimate.prefillTime(e.PromptTokens-h.Tokens) + p.load(u, 0, now)
	if c.wait {
		c.cost += p.estimate.wait(u.queue.size+1, p.allowance(u, now))
	}
	if c.cost < best.cost {
		return c
	}
	return best
}

// chooseFree weighs the best upstream that has a free slot, computing the
// prefix again or moving it there. A call whose prefix lies nowhere waits for
// any upstream; one whose prefix is held never does, since computing prefixes
// again while all slots are full only lengthens the queue.
func (p *Pool) chooseFree(best choice, e *entry, longest engine.Holding, now time.Time) choice {
	cost, move := p.recompute(e, longest)
	if cost >= best.cost {
		return best
	}
	var free *upstream
	freeCost := maxCost
	for _, u := range p.order {
		if p.free(u, now) <= 0 || slices.Contains(e.Avoid, u.Name) {
			continue
		}
		if load := p.load(u, e.PromptTokens, now); load < freeCost {
			free, freeCost = u, load
		}
	}
	if free != nil && cost+freeCost < best.cost {
		return choice{upstream: free, move: move, cost: cost + freeCost}
	}
	return best
}

// recompute is the cost of doing without the longest known prefix, or of
// moving it if that is cheaper.
func (p *Pool) recompute(e *entry, longest engine.Holding) (time.Duration, *Move) {
	lost := p.estimate.prefillTime(longest.Tokens)
	cost := p.estimate.prefillTime(e.PromptTokens) + time.Duration(float64(lost)*recomputeWeight)
	from := p.upstreams[longest.Engine]
	if p.limits.MoveRate <= 0 || longest.Tokens == 0 || from == nil {
		return cost, nil
	}
	moving := time.Duration(float64(longest.Tokens) / p.limits.MoveRate * float64(time.Second))
	moved := moving + p.estimate.prefillTime(e.PromptTokens-longest.Tokens)
	if moved >= cost {
		return cost, nil
	}
	return moved, &Move{From: from.Name, Address: from.Address, Tokens: longest.Tokens}
}

// load is the time that the upstream's present work adds: prefills sent so
// far, the batch, and prefixes in use that the tokens would push out.
func (p *Pool) load(u *upstream, tokens int, now time.Time) time.Duration {
	batch := float64(len(u.running)+u.strangers(now)) / float64(u.ramp.slots)
	cost := u.prefillBacklog(now) + time.Duration(loadWeight*p.estimate.service*batch*float64(time.Second))
	if u.CacheTokens <= 0 || tokens == 0 {
		return cost
	}
	filled := float64(u.live) / float64(u.CacheTokens)
	cost += time.Duration(loadWeight * p.estimate.service * filled * float64(time.Second))
	return cost + p.estimate.prefillTime(u.live+tokens-u.CacheTokens)
}

// allowance is how many calls may be in flight on the upstream now.
func (p *Pool) allowance(u *upstream, now time.Time) int {
	if !u.usable(now) {
		return 0
	}
	n := u.ramp.allowance
	if p.exclusive && !p.settling.active {
		return n
	}
	if !u.ramp.warm() {
		return 0
	}
	if p.settling.active {
		n = min(n, u.ramp.slots-int(math.Ceil(p.limits.SettlingReserve*float64(u.ramp.slots))))
	}
	if !p.exclusive {
		n = min(n, int(p.limits.SharedSlots*float64(u.ramp.slots)))
	}
	return n
}

func (p *Pool) free(u *upstream, now time.Time) int {
	return p.allowance(u, now) - len(u.running)
}
