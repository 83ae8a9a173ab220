package progs

import (
	"slices"
	"sync"
	"time"

	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/prog"
)

type (
	// Carrier remembers the turns that this instance runs for its callers, so
	// that a new home of their programs can learn of them. It is safe for
	// concurrent use.
	Carrier struct {
		mu    sync.Mutex
		turns map[string]*carried
	}

	// carried is one turn and the peer addresses of the homes that were told
	// of it: each of them waits for the turn's end.
	carried struct {
		prog.Running
		askers []string
	}
)

// NewCarrier returns a carrier of no turns.
func NewCarrier() *Carrier { return &Carrier{turns: make(map[string]*carried)} }

// Add notes a turn that begins.
func (c *Carrier) Add(r prog.Running) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turns[r.Begin.Attempt] = &carried{Running: r}
}

// Remove forgets a turn whose home has taken its report. It returns the peer
// addresses of the homes that were told that the turn runs.
func (c *Carrier) Remove(attempt string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	turn, ok := c.turns[attempt]
	if !ok {
		return nil
	}
	delete(c.turns, attempt)
	return turn.askers
}

// Len returns the number of turns.
func (c *Carrier) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.turns)
}

// List returns the turns of the shards and notes who asked.
func (c *Carrier) List(q *CarriedRequest, now time.Time) []CarriedTurn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []CarriedTurn
	for _, r := range c.turns {
		if !q.Shards.Has(fleet.Shard(prog.ShardOf(r.Begin.Program))) {
			continue
		}
		r.addAsker(q.Asker)
		out = append(out, CarriedTurn{
			Begin:    newBeginMessage(r.Begin, now),
			Turn:     r.Turn,
			Previous: r.Previous,
		})
	}
	return out
}

func (c *carried) addAsker(address string) {
	if !slices.Contains(c.askers, address) {
		c.askers = append(c.askers, address)
	}
}
