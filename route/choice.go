package route

import (
	"math"
	"slices"
	"time"

	"github.com/buckthorntide/buckthorntide/engine"
)

const (
	// recomputeWeight is the cost of recomputing a lost prefix relative to
	// waiting, since it also delays the engine's other calls.
	recomputeWeight = 4.0
	// loadWeight is the cost of a full batch, in service times.
	loadWeight = 0.25
	maxCost    = time.Duration(math.MaxInt64)
)

// choice is the best placement of a call.
type choice struct {
	// upstream is nil if the call should wait for any of them.
	upstream *upstream
	// wait means that the upstream has no free slot.
	wait bool
	move *Move
	cost time.Duration
}

// choose compares the upstreams that hold the program's prefix with those that
// have a free slot.
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

// holdings returns the known copies of the program's prefix. The home's hints
// are used if the index has none.
func (p *Pool) holdings(c *Call) []engine.Holding {
	p.holdingsBuffer = p.holdingsBuffer[:0]
	if p.index != nil {
		p.holdingsBuffer = p.index.Holders(c.Program, p.holdingsBuffer)
	}
	if len(p.holdingsBuffer) > 0 {
		return p.holdingsBuffer
	}
	for _, h := range c.CachedOn {
		p.holdingsBuffer = append(p.holdingsBuffer, engine.Holding{Engine: h.Upstream, Tokens: h.Tokens})
	}
	return p.holdingsBuffer
}

func (p *Pool) chooseHolder(best choice, e *entry, h engine.Holding, now time.Time) choice {
	u := p.upstreams[h.Engine]
	if u == nil || !u.usable(now) || slices.Contains(e.Avoid, u.Name) {
		return best
	}
	c := choice{upstream: u, wait: p.freeSlots(u, now) <= 0}
	c.cost = p.estimate.prefillTime(e.PromptTokens-h.Tokens) + p.loadCost(u, 0, now)
	if c.wait {
		c.cost += p.estimate.wait(u.queue.size+1, p.allowance(u, now))
	}
	if c.cost < best.cost {
		return c
	}
	return best
}

// chooseFree compares the best upstream with a free slot, at the cost of
// recomputing the prefix or moving it there. A call whose prefix is cached
// nowhere waits for any upstream; one whose prefix is cached never does, since
// recomputing prefixes while all slots are full only lengthens the queue.
func (p *Pool) chooseFree(best choice, e *entry, longest engine.Holding, now time.Time) choice {
	cost, move := p.recomputeCost(e, longest)
	if cost >= best.cost {
		return best
	}
	var free *upstream
	freeCost := maxCost
	for _, u := range p.byName {
		if p.freeSlots(u, now) <= 0 || slices.Contains(e.Avoid, u.Name) {
			continue
		}
		if load := p.loadCost(u, e.PromptTokens, now); load < freeCost {
			free, freeCost = u, load
		}
	}
	if free != nil && cost+freeCost < best.cost {
		return choice{upstream: free, move: move, cost: cost + freeCost}
	}
	return best
}

// recomputeCost returns the cost of recomputing the longest known prefix, or of
// moving it if that is cheaper.
func (p *Pool) recomputeCost(e *entry, longest engine.Holding) (time.Duration, *Move) {
	prefixTime := p.estimate.prefillTime(longest.Tokens)
	cost := p.estimate.prefillTime(e.PromptTokens) + time.Duration(float64(prefixTime)*recomputeWeight)
	from := p.upstreams[longest.Engine]
	if p.limits.MoveRate <= 0 || longest.Tokens == 0 || from == nil {
		return cost, nil
	}
	moveTime := time.Duration(float64(longest.Tokens) / p.limits.MoveRate * float64(time.Second))
	moveCost := moveTime + p.estimate.prefillTime(e.PromptTokens-longest.Tokens)
	if moveCost >= cost {
		return cost, nil
	}
	return moveCost, &Move{From: from.Name, Address: from.Address, Tokens: longest.Tokens}
}

// loadCost returns the delay from the upstream's present load: assigned
// prefills, the batch, and the prefixes in use that the tokens would evict.
func (p *Pool) loadCost(u *upstream, tokens int, now time.Time) time.Duration {
	batch := float64(len(u.running)+u.foreignCalls(now)) / float64(u.ramp.slots)
	cost := u.prefillBacklog(now) + time.Duration(loadWeight*p.estimate.serviceSeconds*batch*float64(time.Second))
	if u.CacheTokens <= 0 || tokens == 0 {
		return cost
	}
	filled := float64(u.liveTokens) / float64(u.CacheTokens)
	cost += time.Duration(loadWeight * p.estimate.serviceSeconds * filled * float64(time.Second))
	return cost + p.estimate.prefillTime(u.liveTokens+tokens-u.CacheTokens)
}

// allowance returns how many calls may be in flight on the upstream now.
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

func (p *Pool) freeSlots(u *upstream, now time.Time) int {
	return p.allowance(u, now) - len(u.running)
}
