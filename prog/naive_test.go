package prog

import (
	"fmt"
	"slices"
	"strings"

	"github.com/buckthorntide/buckthorntide/conf"
)

type (
	// naive is what programs may do, written for clearness: one home that
	// never fails, no store, and no regard to cost.
	naive struct {
		budget   conf.Budget
		families map[string]*naiveFamily
		programs map[string]*naiveProgram
		out      []string
	}

	naiveFamily struct {
		spent, held Usage
	}

	naiveProgram struct {
		family  *naiveFamily
		turns   []EndRequest
		running *naiveCall
		queue   []*naiveCall
		ended   bool
	}

	naiveCall struct {
		BeginRequest
		ticket   Ticket
		reserved int64
		foreign  bool
		start    string
	}
)

func newNaive(budget conf.Budget) *naive {
	return &naive{
		budget:   budget,
		families: make(map[string]*naiveFamily),
		programs: make(map[string]*naiveProgram),
	}
}

func (n *naive) say(t Ticket, format string, args ...any) {
	n.out = append(n.out, fmt.Sprintf("%d ", t)+fmt.Sprintf(format, args...))
}

func (n *naive) open(t Ticket, program, parent, team string) {
	root := RootOf(program)
	if parent != "" {
		p := n.programs[parent]
		switch {
		case p == nil || team != "team":
			n.say(t, "refused unknownProgram")
			return
		case n.programs[program] == nil && (p.ended || n.programs[root].ended):
			n.say(t, "refused programEnded")
			return
		}
	} else if n.families[root] == nil {
		n.families[root] = &naiveFamily{}
	}
	if n.programs[program] == nil {
		n.programs[program] = &naiveProgram{family: n.families[root]}
	}
	n.say(t, "opened %s", program)
}

func (n *naive) begin(t Ticket, r BeginRequest) {
	p := n.programs[r.Program]
	if p == nil || r.Team != "team" {
		n.say(t, "refused unknownProgram")
		return
	}
	call := &naiveCall{BeginRequest: r, ticket: t}
	if n.known(p, call) {
		return
	}
	if p.ended {
		n.say(t, "refused programEnded")
		return
	}
	p.queue = append(p.queue, call)
	n.pump(p)
}

func (n *naive) known(p *naiveProgram, c *naiveCall) bool {
	if n.completed(p, c) {
		return true
	}
	others := slices.Clone(p.queue)
	if p.running != nil {
		others = append([]*naiveCall{p.running}, others...)
	}
	for i, other := range others {
		switch {
		case other.CallID != c.CallID:
		case other.Digest != c.Digest:
			n.say(c.ticket, "refused callConflict")
			return true
		case other == p.running && other.Attempt == c.Attempt && !other.foreign:
			n.say(c.ticket, "%s", other.start)
			return true
		case other != p.running && other.Attempt == c.Attempt:
			n.say(other.ticket, "wait %d", i-len(others)+len(p.queue))
			other.ticket = c.ticket
			return true
		}
	}
	return false
}

func (n *naive) completed(p *naiveProgram, c *naiveCall) bool {
	i := slices.IndexFunc(p.turns, func(e EndRequest) bool { return e.CallID == c.CallID })
	switch {
	case i < 0:
		return false
	case p.turns[i].Digest != c.Digest:
		n.say(c.ticket, "refused callConflict")
	default:
		n.say(c.ticket, "replay %d %s", i+1, p.turns[i].Answer.Body)
	}
	return true
}

func (n *naive) pump(p *naiveProgram) {
	for p.running == nil && len(p.queue) > 0 {
		c := p.queue[0]
		p.queue = p.queue[1:]
		left := Usage{n.budget.Calls, n.budget.Tokens}.Sub(p.family.spent).Sub(p.family.held)
		switch {
		case n.completed(p, c):
		case p.ended:
			n.say(c.ticket, "refused programEnded")
		case left.Calls < 1:
			n.say(c.ticket, "refused budgetCalls")
		case left.Tokens < c.EstimatedTokens:
			n.say(c.ticket, "refused budgetTokens")
		default:
			p.running = c
			c.reserved = c.EstimatedTokens
			p.family.held = p.family.held.Add(Usage{1, c.reserved})
			c.start = fmt.Sprintf("start %d %d %s", len(p.turns)+1, c.reserved, n.history(p))
			n.say(c.ticket, "%s", c.start)
		}
	}
}

func (n *naive) history(p *naiveProgram) string {
	var b strings.Builder
	for _, e := range p.turns {
		if e.Kind == KindModel {
			fmt.Fprintf(&b, "%s,%s,", e.NewMessages[0].Body, e.Answer.Body)
		}
	}
	return b.String()
}

// end takes the only report of a call, or a resend of a completed one.
func (n *naive) end(t Ticket, e EndRequest) {
	p := n.programs[e.Program]
	mine := p.running != nil && p.running.CallID == e.CallID && p.running.Attempt == e.Attempt && e.Turn == len(p.turns)+1
	done := e.Outcome == OutcomeCompleted
	switch {
	case done && e.Turn <= len(p.turns) && p.turns[e.Turn-1].Attempt == e.Attempt:
		n.say(t, "kept")
		return
	case done && e.Turn <= len(p.turns):
		n.say(t, "superseded")
		return
	case mine:
		n.stop(p, e)
	case done && p.running != nil: // another home's call came in first
		n.stop(p, EndRequest{Outcome: OutcomeUnknown})
	}
	if done {
		p.turns = append(p.turns, e)
		p.queue = slices.DeleteFunc(p.queue, func(c *naiveCall) bool { return n.isAnswered(p, c, e) })
	}
	n.say(t, "kept")
	n.pump(p)
}

func (n *naive) isAnswered(p *naiveProgram, c *naiveCall, e EndRequest) bool {
	return c.CallID == e.CallID && n.completed(p, c)
}

// stop settles the running call; another home's was settled when it moved.
func (n *naive) stop(p *naiveProgram, e EndRequest) {
	c := p.running
	p.running = nil
	if c.foreign {
		return
	}
	p.family.held = p.family.held.Sub(Usage{1, c.reserved})
	used := Usage{1, e.PromptTokens + e.AnswerTokens}
	if e.Outcome == OutcomeUnknown {
		used.Tokens = c.reserved
	}
	p.family.spent = p.family.spent.Add(used)
}

func (n *naive) close(t Ticket, program string) {
	for id, p := range n.programs {
		if id == program || strings.HasPrefix(id, program+".") {
			p.ended = true
		}
	}
	n.say(t, "closed")
	for _, id := range sortedKeys(n.programs) {
		n.pump(n.programs[id])
	}
}

// move is a planned change of the home: what waits is refused, what runs
// counts as spent.
func (n *naive) move() {
	for _, id := range sortedKeys(n.programs) {
		p := n.programs[id]
		for _, c := range p.queue {
			n.say(c.ticket, "refused homeMoved")
		}
		p.queue = nil
		if p.running != nil && !p.running.foreign {
			n.stop(p, EndRequest{Outcome: OutcomeUnknown})
		} else {
			p.running = nil
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
