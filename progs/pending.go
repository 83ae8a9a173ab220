package progs

import (
	"slices"
	"sync"
	"time"

	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/prog"
)

type (
	// PendingTurns holds the turns that this instance relays and whose reports their
	// homes have not confirmed. New homes of the programs request them. It is
	// safe for concurrent use.
	PendingTurns struct {
		mu    sync.Mutex
		turns map[string]*pendingTurn
	}

	// pendingTurn is a turn and the peer addresses of the homes that requested
	// it: each of them waits for the turn's end.
	pendingTurn struct {
		prog.RelayedTurn
		requesters []string
	}
)

// NewPendingTurns returns an empty set of pending turns.
func NewPendingTurns() *PendingTurns { return &PendingTurns{turns: make(map[string]*pendingTurn)} }

// Add records a turn under its attempt.
func (c *PendingTurns) Add(r prog.RelayedTurn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turns[r.Begin.Attempt] = &pendingTurn{RelayedTurn: r}
}

// Remove drops a turn whose home has confirmed the report. It returns the peer
// addresses of the homes that requested the turn.
func (c *PendingTurns) Remove(attempt string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	turn, ok := c.turns[attempt]
	if !ok {
		return nil
	}
	delete(c.turns, attempt)
	return turn.requesters
}

// Len returns the number of pending turns.
func (c *PendingTurns) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.turns)
}

// List returns the pending turns of the shards and records the requester.
func (c *PendingTurns) List(q *PendingTurnsRequest, now time.Time) []TurnMessage {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []TurnMessage
	for _, r := range c.turns {
		if !q.Shards.Has(fleet.Shard(prog.ShardOf(r.Begin.Program))) {
			continue
		}
		r.addRequester(q.Requester)
		out = append(out, TurnMessage{
			Begin:    newBeginMessage(r.Begin, now),
			Turn:     r.Turn,
			Previous: r.Previous,
		})
	}
	return out
}

func (t *pendingTurn) addRequester(address string) {
	if !slices.Contains(t.requesters, address) {
		t.requesters = append(t.requesters, address)
	}
}
