package prog

import (
	"slices"
	"strings"
)

type (
	// Dump is a Core's state for operators.
	Dump struct {
		Stats Stats `json:"stats"`
		// Families, Running, Queued and Uncommitted count over all families.
		Families int `json:"families"`
		Running  int `json:"running"`
		Queued   int `json:"queued"`
		// Uncommitted is the number of turns that may be missing in the table.
		Uncommitted int `json:"unkept"`
		// BlockedShards are the shards whose turns wait until the relay
		// instances have reported theirs.
		BlockedShards []int `json:"heldShards,omitempty"`
		// Programs are the first of the requested families, by id.
		Programs []FamilyDump `json:"programs,omitempty"`
	}

	// FamilyDump is the state of one family in memory.
	FamilyDump struct {
		Program string `json:"program"`
		Team    string `json:"team"`
		// State is loading, ready, stale, leaving or ended.
		State string `json:"state"`
		// MustReload is set while the row must be read before the next commit,
		// as after a commit with an unknown outcome.
		MustReload bool        `json:"unsure,omitempty"`
		Version    int64       `json:"version"`
		Total      Usage       `json:"total"`
		Spent      Usage       `json:"spent"`
		Held       Usage       `json:"held"`
		Unreported Usage       `json:"dead"`
		Limit      Usage       `json:"mark"`
		Agents     []AgentDump `json:"agents,omitempty"`
	}

	// AgentDump is the state of one program of a family.
	AgentDump struct {
		Program     string `json:"program"`
		Turns       int    `json:"turns"`
		Uncommitted int    `json:"unkept,omitempty"`
		Queued      int    `json:"queued,omitempty"`
		// RunningCall and Relay are the id and the relay instance of the
		// running call.
		RunningCall string   `json:"runningCall,omitempty"`
		Relay       string   `json:"relay,omitempty"`
		Engines     []string `json:"engines,omitempty"`
		Ended       bool     `json:"ended,omitempty"`
	}
)

// Dump returns the counters, and up to limit families whose id has the prefix.
func (c *Core) Dump(prefix string, limit int) *Dump {
	d := &Dump{Stats: c.stats, Families: c.families.Len()}
	for shard := range c.blockedShards {
		d.BlockedShards = append(d.BlockedShards, shard)
	}
	slices.Sort(d.BlockedShards)
	for _, root := range c.families.Keys(strings.Compare) {
		f := c.families.Get(root)
		d.count(f)
		if strings.HasPrefix(root, prefix) && len(d.Programs) < limit {
			d.Programs = append(d.Programs, f.dump())
		}
	}
	return d
}

func (d *Dump) count(f *family) {
	for _, a := range f.agents {
		d.Queued += len(a.queue)
		d.Uncommitted += len(a.uncommittedTurns())
		if a.running != nil {
			d.Running++
		}
	}
}

func (f *family) dump() FamilyDump {
	d := FamilyDump{
		Program:    f.root,
		Team:       f.team,
		State:      f.state(),
		MustReload: f.mustReload,
		Version:    f.version,
		Total:      f.ledger.Total(),
		Spent:      f.ledger.Spent,
		Held:       f.ledger.Held,
		Unreported: f.ledger.Unreported,
		Limit:      f.ledger.Limit,
	}
	for _, a := range f.agents {
		d.Agents = append(d.Agents, a.dump())
	}
	return d
}

func (f *family) state() string {
	switch {
	case f.unloading:
		return "leaving"
	case f.phase == phaseLoading:
		return "loading"
	case f.phase == phaseStale:
		return "stale"
	case f.ended:
		return "ended"
	default:
		return "ready"
	}
}

func (a *agent) dump() AgentDump {
	d := AgentDump{
		Program:     a.program,
		Turns:       len(a.turns),
		Uncommitted: len(a.uncommittedTurns()),
		Queued:      len(a.queue),
		Engines:     slices.Clone(a.engines),
		Ended:       a.ended,
	}
	if a.running != nil {
		d.RunningCall = a.running.request.CallID
		d.Relay = a.running.request.Relay
	}
	return d
}
