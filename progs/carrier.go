package progs

import (
	"sync"
	"time"

	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/prog"
)

// Carrier remembers the turns that this instance runs for its callers, so that
// a new home of their programs can learn of them. It is safe for concurrent
// use.
type Carrier struct {
	mu    sync.Mutex
	turns map[string]prog.Running
}

// NewCarrier returns a carrier of no turns.
func NewCarrier() *Carrier { return &Carrier{turns: make(map[string]prog.Running)} }

// Add notes a turn that begins.
func (c *Carrier) Add(r prog.Running) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turns[r.Begin.Attempt] = r
}

// Remove forgets a turn whose home has taken its report.
func (c *Carrier) Remove(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.turns, attempt)
}

// Len returns the number of turns.
func (c *Carrier) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.turns)
}

// List returns the turns of the shards.
func (c *Carrier) List(shards fleet.Bitmap, now time.Time) []CarriedTurn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []CarriedTurn
	for _, r := range c.turns {
		if !shards.Has(fleet.Shard(prog.ShardOf(r.Begin.Program))) {
			continue
		}
		out = append(out, CarriedTurn{
			Begin:    newBeginMessage(r.Begin, now),
			Turn:     r.Turn,
			Previous: r.Previous,
		})
	}
	return out
}
