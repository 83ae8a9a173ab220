package prog

import (
	"slices"
	"strings"
	"time"
)

// createFamily creates the family of a root program that is not in the table.
func (c *Core) createFamily(r *OpenRequest, now time.Time) {
	f := c.families.Put(r.Program, family{root: r.Program, lastActive: now})
	c.initFamily(f, r, now)
}

// initFamily initializes a new family. Its first chunk may be spent before the
// row is committed. If another home may have opened the program too, that chunk
// counts as spent, and this home spends nothing before it has committed a
// higher limit.
func (c *Core) initFamily(f *family, r *OpenRequest, now time.Time) {
	f.team = r.Team
	f.phase = phaseReady
	f.ledger = Ledger{
		Budget:   c.options.withDefaults(r.Budget),
		LoadedAt: now,
		OpenedAt: now.Round(0),
	}
	first := f.ledger.Chunk(c.options.ChunksPerBudget)
	f.ledger.Limit = first
	if r.Resent {
		f.ledger.Spent = first
		f.ledger.Unreported = first
	}
	f.agents = []*agent{newAgent(r.Program, r.Team, r.Key)}
	f.markChanged()
}

// open answers for a program in memory and adds a sub-agent if needed.
func (c *Core) open(f *family, t Ticket, r *OpenRequest, now time.Time) {
	program, refusal := c.resolveOpen(f, r)
	if refusal != nil {
		c.replyOpen(t, &OpenReply{Refusal: refusal})
		return
	}
	f.lastActive = now
	c.awaitCommit(f, t, now,
		Reply{Open: &OpenReply{Program: program, Kept: true}},
		Reply{Open: &OpenReply{Program: program}})
}

func (c *Core) resolveOpen(f *family, r *OpenRequest) (string, *Refusal) {
	if f.team != r.Team {
		return "", refuse(ReasonUnknownProgram)
	}
	if r.Parent == "" {
		if f.agents[0].key != r.Key {
			return "", refuse(ReasonUnknownProgram)
		}
		return r.Program, nil
	}
	parent := f.agent(r.Parent)
	if parent == nil {
		return "", refuse(ReasonUnknownProgram)
	}
	id := childID(r.Parent, r.Key)
	if a := f.agent(id); a != nil && a.key == r.Key {
		return id, nil
	} else if a != nil {
		return "", refuse(ReasonConflict)
	}
	return id, f.addAgent(parent, id, r.Key)
}

func (f *family) addAgent(parent *agent, id, key string) *Refusal {
	if f.ended || parent.ended {
		return refuse(ReasonEnded)
	}
	if len(f.agents) >= maxAgents || len(id) > maxIDBytes {
		return refuse(ReasonTooManyAgents)
	}
	f.agents = append(f.agents, newAgent(id, f.team, key))
	f.markChanged()
	return nil
}

// close ends a program and its sub-agents and releases their caches.
func (c *Core) close(f *family, t Ticket, r *CloseRequest, now time.Time) {
	if f.team != r.Team || f.agent(r.Program) == nil {
		c.replyClose(t, &CloseReply{Refusal: refuse(ReasonUnknownProgram)})
		return
	}
	for _, a := range f.agents {
		if !a.ended && (a.program == r.Program || strings.HasPrefix(a.program, r.Program+".")) {
			a.ended = true
			f.markChanged()
			c.release(a)
		}
	}
	f.ended = f.agents[0].ended
	f.lastActive = now
	c.awaitCommit(f, t, now, Reply{Close: &CloseReply{Kept: true}}, Reply{Close: &CloseReply{}})
}

// release asks the engines to release an agent's cache, once for each use.
func (c *Core) release(a *agent) {
	if len(a.engines) == 0 {
		return
	}
	c.actions = append(c.actions, Action{Release: &Release{
		Program: a.program,
		Engines: slices.Clone(a.engines),
	}})
	a.engines = nil
}

// awaitCommit replies at once if the family's state is in the table, otherwise
// after the next commit or when the timeout expires.
func (c *Core) awaitCommit(f *family, t Ticket, now time.Time, committed, timedOut Reply) {
	if f.revision == f.committedRevision {
		c.reply(t, committed)
		return
	}
	f.waiters = append(f.waiters, waiter{
		ticket:         t,
		expiresAt:      now.Add(c.commitTimeout()),
		revision:       f.revision,
		committedReply: committed,
		timeoutReply:   timedOut,
	})
}

func parentOf(program string) string {
	i := strings.LastIndexByte(program, '.')
	if i < 0 {
		return ""
	}
	return program[:i]
}
