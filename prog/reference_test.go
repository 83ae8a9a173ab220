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
	reference struct {
		budget   conf.Budget
		families map[string]*referenceFamily
		programs map[string]*referenceProgram
		replies  []string
	}

	referenceFamily struct {
		spent, held Usage
	}

	referenceProgram struct {
		family  *referenceFamily
		turns   []EndRequest
		running *referenceCall
		queue   []*referenceCall
		ended   bool
	}

	referenceCall struct {
		BeginRequest
		ticket            Ticket
		reserved          int64
		reservedElsewhere bool
		startReply        string
	}
)

func newReference(budget conf.Budget) *reference {
	return &reference{
		budget:   budget,
		families: make(map[string]*referenceFamily),
		programs: make(map[string]*referenceProgram),
	}
}

func (n *reference) reply(t Ticket, format string, args ...any) {
	n.replies = append(n.replies, fmt.Sprintf("%d ", t)+fmt.Sprintf(format, args...))
}

func (n *reference) open(t Ticket, program, parent, team string) {
	root := RootOf(program)
	if parent != "" {
		p := n.programs[parent]
		switch {
		case p == nil || team != "team":
			n.reply(t, "refused unknownProgram")
			return
		case n.programs[program] == nil && (p.ended || n.programs[root].ended):
			n.reply(t, "refused programEnded")
			return
		}
	} else if n.families[root] == nil {
		n.families[root] = &referenceFamily{}
	}
	if n.programs[program] == nil {
		n.programs[program] = &referenceProgram{family: n.families[root]}
	}
	n.reply(t, "opened %s", program)
}

func (n *reference) begin(t Ticket, r BeginRequest) {
	p := n.programs[r.Program]
	if p == nil || r.Team != "team" {
		n.reply(t, "refused unknownProgram")
		return
	}
	call := &referenceCall{BeginRequest: r, ticket: t}
	if n.answerKnown(p, call) {
		return
	}
	if p.ended {
		n.reply(t, "refused programEnded")
		return
	}
	p.queue = append(p.queue, call)
	n.startNext(p)
}

func (n *reference) answerKnown(p *referenceProgram, c *referenceCall) bool {
	if n.answerCompleted(p, c) {
		return true
	}
	others := slices.Clone(p.queue)
	if p.running != nil {
		others = append([]*referenceCall{p.running}, others...)
	}
	for i, other := range others {
		switch {
		case other.CallID != c.CallID:
		case other.Digest != c.Digest:
			n.reply(c.ticket, "refused callConflict")
			return true
		case other == p.running && other.Attempt == c.Attempt && !other.reservedElsewhere:
			n.reply(c.ticket, "%s", other.startReply)
			return true
		case other != p.running && other.Attempt == c.Attempt:
			n.reply(other.ticket, "wait %d", i-len(others)+len(p.queue))
			other.ticket = c.ticket
			return true
		}
	}
	return false
}

func (n *reference) answerCompleted(p *referenceProgram, c *referenceCall) bool {
	i := slices.IndexFunc(p.turns, func(e EndRequest) bool { return e.CallID == c.CallID })
	switch {
	case i < 0:
		return false
	case p.turns[i].Digest != c.Digest:
		n.reply(c.ticket, "refused callConflict")
	default:
		n.reply(c.ticket, "replay %d %s", i+1, p.turns[i].Answer.Body)
	}
	return true
}

func (n *reference) startNext(p *referenceProgram) {
	for p.running == nil && len(p.queue) > 0 {
		c := p.queue[0]
		p.queue = p.queue[1:]
		left := Usage{n.budget.Calls, n.budget.Tokens}.Sub(p.family.spent).Sub(p.family.held)
		switch {
		case n.answerCompleted(p, c):
		case p.ended:
			n.reply(c.ticket, "refused programEnded")
		case left.Calls < 1:
			n.reply(c.ticket, "refused budgetCalls")
		case left.Tokens < c.EstimatedTokens:
			n.reply(c.ticket, "refused budgetTokens")
		default:
			p.running = c
			c.reserved = c.EstimatedTokens
			p.family.held = p.family.held.Add(Usage{1, c.reserved})
			c.startReply = fmt.Sprintf("start %d %d %s", len(p.turns)+1, c.reserved, n.history(p))
			n.reply(c.ticket, "%s", c.startReply)
		}
	}
}

func (n *reference) history(p *referenceProgram) string {
	var b strings.Builder
	for _, e := range p.turns {
		if e.Kind == KindModel {
			fmt.Fprintf(&b, "%s,%s,", e.NewMessages[0].Body, e.Answer.Body)
		}
	}
	return b.String()
}

// end takes the only report of a call, or a resend of a completed one.
func (n *reference) end(t Ticket, e EndRequest) {
	p := n.programs[e.Program]
	mine := p.running != nil && p.running.CallID == e.CallID && p.running.Attempt == e.Attempt && e.Turn == len(p.turns)+1
	done := e.Outcome == OutcomeCompleted
	switch {
	case done && e.Turn <= len(p.turns) && p.turns[e.Turn-1].Attempt == e.Attempt:
		n.reply(t, "kept")
		return
	case done && e.Turn <= len(p.turns):
		n.reply(t, "superseded")
		return
	case mine:
		n.settleRunning(p, e)
	case done && p.running != nil: // another home's call came in first
		n.settleRunning(p, EndRequest{Outcome: OutcomeUnknown})
	}
	if done {
		p.turns = append(p.turns, e)
		p.queue = slices.DeleteFunc(p.queue, func(c *referenceCall) bool { return n.answerIfSame(p, c, e) })
	}
	n.reply(t, "kept")
	n.startNext(p)
}

func (n *reference) answerIfSame(p *referenceProgram, c *referenceCall, e EndRequest) bool {
	return c.CallID == e.CallID && n.answerCompleted(p, c)
}

// stop settles the running call; another home's was settled when it moved.
func (n *reference) settleRunning(p *referenceProgram, e EndRequest) {
	c := p.running
	p.running = nil
	if c.reservedElsewhere {
		return
	}
	p.family.held = p.family.held.Sub(Usage{1, c.reserved})
	used := Usage{1, e.PromptTokens + e.AnswerTokens}
	if e.Outcome == OutcomeUnknown {
		used.Tokens = c.reserved
	}
	p.family.spent = p.family.spent.Add(used)
}

func (n *reference) close(t Ticket, program string) {
	for id, p := range n.programs {
		if id == program || strings.HasPrefix(id, program+".") {
			p.ended = true
		}
	}
	n.reply(t, "closed")
	for _, id := range sortedKeys(n.programs) {
		n.startNext(n.programs[id])
	}
}

// move is a planned change of the home: what waits is refused, what runs
// counts as spent.
func (n *reference) move() {
	for _, id := range sortedKeys(n.programs) {
		p := n.programs[id]
		for _, c := range p.queue {
			n.reply(c.ticket, "refused homeMoved")
		}
		p.queue = nil
		if p.running != nil && !p.running.reservedElsewhere {
			n.settleRunning(p, EndRequest{Outcome: OutcomeUnknown})
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
