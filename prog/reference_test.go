package prog

import (
	"fmt"
	"slices"
	"strings"

	"github.com/buckthorntide/buckthorntide/conf"
)

type (
	// reference implements the rules of programs as simply as possible: one
	// home that never fails, without a store and without regard to cost.
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

func (rf *reference) reply(t Ticket, format string, args ...any) {
	rf.replies = append(rf.replies, fmt.Sprintf("%d ", t)+fmt.Sprintf(format, args...))
}

func (rf *reference) open(t Ticket, program, parent, team string) {
	root := RootOf(program)
	if parent != "" {
		p := rf.programs[parent]
		switch {
		case p == nil || team != "team":
			rf.reply(t, "refused unknownProgram")
			return
		case rf.programs[program] == nil && (p.ended || rf.programs[root].ended):
			rf.reply(t, "refused programEnded")
			return
		}
	} else if rf.families[root] == nil {
		rf.families[root] = &referenceFamily{}
	}
	if rf.programs[program] == nil {
		rf.programs[program] = &referenceProgram{family: rf.families[root]}
	}
	rf.reply(t, "opened %s", program)
}

func (rf *reference) begin(t Ticket, r BeginRequest) {
	p := rf.programs[r.Program]
	if p == nil || r.Team != "team" {
		rf.reply(t, "refused unknownProgram")
		return
	}
	call := &referenceCall{BeginRequest: r, ticket: t}
	if rf.answerKnown(p, call) {
		return
	}
	if p.ended {
		rf.reply(t, "refused programEnded")
		return
	}
	p.queue = append(p.queue, call)
	rf.startNext(p)
}

func (rf *reference) answerKnown(p *referenceProgram, c *referenceCall) bool {
	if rf.answerCompleted(p, c) {
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
			rf.reply(c.ticket, "refused callConflict")
			return true
		case other == p.running && other.Attempt == c.Attempt && !other.reservedElsewhere:
			rf.reply(c.ticket, "%s", other.startReply)
			return true
		case other != p.running && other.Attempt == c.Attempt:
			rf.reply(other.ticket, "wait %d", i-len(others)+len(p.queue))
			other.ticket = c.ticket
			return true
		}
	}
	return false
}

func (rf *reference) answerCompleted(p *referenceProgram, c *referenceCall) bool {
	i := slices.IndexFunc(p.turns, func(e EndRequest) bool { return e.CallID == c.CallID })
	switch {
	case i < 0:
		return false
	case p.turns[i].Digest != c.Digest:
		rf.reply(c.ticket, "refused callConflict")
	default:
		rf.reply(c.ticket, "replay %d %s", i+1, p.turns[i].Answer.Body)
	}
	return true
}

func (rf *reference) startNext(p *referenceProgram) {
	for p.running == nil && len(p.queue) > 0 {
		c := p.queue[0]
		p.queue = p.queue[1:]
		left := Usage{rf.budget.Calls, rf.budget.Tokens}.Sub(p.family.spent).Sub(p.family.held)
		switch {
		case rf.answerCompleted(p, c):
		case p.ended:
			rf.reply(c.ticket, "refused programEnded")
		case left.Calls < 1:
			rf.reply(c.ticket, "refused budgetCalls")
		case left.Tokens < c.EstimatedTokens:
			rf.reply(c.ticket, "refused budgetTokens")
		default:
			p.running = c
			c.reserved = c.EstimatedTokens
			p.family.held = p.family.held.Add(Usage{1, c.reserved})
			c.startReply = fmt.Sprintf("start %d %d %s", len(p.turns)+1, c.reserved, rf.history(p))
			rf.reply(c.ticket, "%s", c.startReply)
		}
	}
}

func (rf *reference) history(p *referenceProgram) string {
	var b strings.Builder
	for _, e := range p.turns {
		if e.Kind == KindModel {
			fmt.Fprintf(&b, "%s,%s,", e.NewMessages[0].Body, e.Answer.Body)
		}
	}
	return b.String()
}

// end handles the only report of a call, or a resend of a completed one.
func (rf *reference) end(t Ticket, e EndRequest) {
	p := rf.programs[e.Program]
	isRunning := p.running != nil && p.running.CallID == e.CallID && p.running.Attempt == e.Attempt && e.Turn == len(p.turns)+1
	done := e.Outcome == OutcomeCompleted
	switch {
	case done && e.Turn <= len(p.turns) && p.turns[e.Turn-1].Attempt == e.Attempt:
		rf.reply(t, "kept")
		return
	case done && e.Turn <= len(p.turns):
		rf.reply(t, "superseded")
		return
	case isRunning:
		rf.settleRunning(p, e)
	case done && p.running != nil: // another home's call was reported first
		rf.settleRunning(p, EndRequest{Outcome: OutcomeUnknown})
	}
	if done {
		p.turns = append(p.turns, e)
		p.queue = slices.DeleteFunc(p.queue, func(c *referenceCall) bool { return rf.answerIfSame(p, c, e) })
	}
	rf.reply(t, "kept")
	rf.startNext(p)
}

func (rf *reference) answerIfSame(p *referenceProgram, c *referenceCall, e EndRequest) bool {
	return c.CallID == e.CallID && rf.answerCompleted(p, c)
}

// settleRunning settles the running call, unless another home reserved for it:
// that reservation counted as spent when the program moved.
func (rf *reference) settleRunning(p *referenceProgram, e EndRequest) {
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

func (rf *reference) close(t Ticket, program string) {
	for id, p := range rf.programs {
		if id == program || strings.HasPrefix(id, program+".") {
			p.ended = true
		}
	}
	rf.reply(t, "closed")
	for _, id := range sortedKeys(rf.programs) {
		rf.startNext(rf.programs[id])
	}
}

// move is a planned change of the home: queued calls are refused, running ones
// count as spent.
func (rf *reference) move() {
	for _, id := range sortedKeys(rf.programs) {
		p := rf.programs[id]
		for _, c := range p.queue {
			rf.reply(c.ticket, "refused homeMoved")
		}
		p.queue = nil
		if p.running != nil && !p.running.reservedElsewhere {
			rf.settleRunning(p, EndRequest{Outcome: OutcomeUnknown})
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
