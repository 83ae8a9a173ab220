package prog

import (
	"bytes"
	"fmt"
	"time"

	"gotest.tools/v3/assert"
)

const (
	simOpening simPhase = iota
	simBeginning
	simReporting
	simDone
)

type (
	simPhase int

	// simClient is a caller with its relay instance: it opens a program, makes
	// calls one after another, and resends unanswered requests.
	simClient struct {
		sim          *simulator
		phase        simPhase
		program      string
		parent       string
		key          string
		openAttempts int
		opened       bool // the opening is in the table
		joinsProgram bool // another client opens the program
		number       int
		calls        int
		attempt      int
		call         BeginRequest
		callStep     int64
		report       *simReport
		// pendingReports are reports that were answered with kept=false.
		pendingReports []*simReport
	}
)

func (s *simulator) addClient(c simClient) *simClient {
	c.sim = s
	s.clients = append(s.clients, &c)
	if c.joinsProgram {
		c.phase, c.opened = simBeginning, true
		s.clients[len(s.clients)-1].nextCall()
	}
	return s.clients[len(s.clients)-1]
}

func (c *simClient) finished() bool {
	for _, r := range c.pendingReports {
		if !r.missingPrevious || c.sim.isPending(r.end.Previous) {
			return false
		}
	}
	return c.phase == simDone && c.opened
}

// isPending reports whether a sender still holds the turn of a digest. A sender
// drops a report whose previous turn no sender holds.
func (s *simulator) isPending(digest string) bool {
	for _, c := range s.clients {
		for _, r := range c.pendingReports {
			if r.end.Outcome == OutcomeCompleted && newTurn(&r.end).digest == digest {
				return !r.missingPrevious || s.isPending(r.end.Previous)
			}
		}
	}
	return false
}

// home returns the home to send to: mostly the first, under faults a random
// one.
func (c *simClient) home() *simHome {
	s := c.sim
	if s.fault(25) || s.homes[0].paused {
		return s.homes[s.random.IntN(len(s.homes))]
	}
	return s.homes[0]
}

// sendNext sends the client's unanswered requests, possibly again.
func (c *simClient) sendNext() {
	s := c.sim
	if !c.opened {
		c.open()
	}
	for _, r := range c.pendingReports {
		c.sendReport(r)
	}
	switch c.phase {
	case simBeginning:
		if s.fault(10) {
			c.attempt++
		}
		c.begin()
	case simReporting:
		c.sendReport(c.report)
	}
}

func (c *simClient) open() {
	r := OpenRequest{Team: "team", Key: c.key, Budget: c.sim.budget(), Resent: c.openAttempts > 0}
	r.Program, r.Parent = c.program, c.parent
	if c.parent != "" {
		r.Program = ""
	}
	c.openAttempts++
	h := c.home()
	c.sim.request(h, func(t Ticket) []Action { return h.core.Open(t, r, c.sim.now) }, func(p Reply) {
		if p.Open.Refusal != nil {
			reason := p.Open.Refusal.Reason
			if c.phase == simOpening && !p.Open.Refusal.Retryable && reason != ReasonUnknownProgram {
				c.phase, c.opened = simDone, true
			}
			return
		}
		c.opened = c.opened || p.Open.Kept
		c.program = p.Open.Program
		if c.phase == simOpening {
			c.phase = simBeginning
			c.nextCall()
		}
	})
}

func (c *simClient) nextCall() {
	if c.number == c.calls {
		c.phase = simDone
		return
	}
	c.number++
	c.phase = simBeginning
	c.callStep = c.sim.step
	estimated := int64(50 + c.sim.random.IntN(200))
	c.call = BeginRequest{
		Program: c.program, Team: "team", CallID: fmt.Sprintf("%s-%s-%d", c.program, c.key, c.number),
		Relay: "relay", Kind: KindModel, EstimatedTokens: estimated,
		Deadline: c.sim.now.Add(time.Minute),
	}
	if c.sim.chance(20) {
		c.call.CallID = fmt.Sprintf("%s-shared-%d", c.program, c.number)
	}
	c.call.Digest = c.call.CallID
	if c.sim.chance(15) {
		c.call.Kind = KindPlain
	}
}

func (c *simClient) begin() {
	r := c.call
	r.Attempt = fmt.Sprint(c.key, c.attempt)
	h := c.home()
	c.sim.request(h, func(t Ticket) []Action { return h.core.Begin(t, r, c.sim.now) }, func(p Reply) {
		if c.phase == simBeginning && c.call.CallID == r.CallID && r.Attempt == fmt.Sprint(c.key, c.attempt) {
			c.handleBegin(r, p.Begin)
		}
	})
}

func (c *simClient) handleBegin(r BeginRequest, p *BeginReply) {
	s := c.sim
	switch {
	case p.Start != nil:
		c.runCall(r, p.Start)
	case p.Replay != nil:
		s.counts["replay"]++
		assert.Assert(s.t, bytes.HasPrefix(p.Replay.Answer.Body, []byte(r.CallID)), "another call's answer")
		c.nextCall()
	case p.Refusal != nil:
		s.counts[string(p.Refusal.Reason)]++
		waitsForOpening := p.Refusal.Reason == ReasonUnknownProgram
		if !p.Refusal.Retryable && !waitsForOpening {
			c.nextCall()
		}
	}
}

// runCall simulates the engine: it counts the call, whatever its outcome.
func (c *simClient) runCall(r BeginRequest, start *Start) {
	s := c.sim
	used := 1 + s.random.Int64N(start.ReservedTokens)
	if s.smallBudgets {
		used = start.ReservedTokens
	}
	for _, m := range start.History {
		assert.Assert(s.t, bytes.Contains(m.Body, []byte(c.program+"-")), "mixed history")
	}
	s.runs[RootOf(c.program)] = s.runs[RootOf(c.program)].Add(Usage{Calls: 1, Tokens: used})
	s.counts["run"]++
	end := newReport(r, start, fmt.Sprintf("%s#%d", r.CallID, s.step))
	end.PromptTokens, end.AnswerTokens = used, 0
	if s.chance(5) {
		end.Answer.Body = append(end.Answer.Body, make([]byte, maxInlineBytes)...)
	}
	switch p := s.random.IntN(100); {
	case p < 5 && s.faulty:
		c.nextCall() // the relay instance fails before it reports
		return
	case p < 12, p < 60 && s.smallBudgets:
		end.Outcome = OutcomeFailed
	case p < 16:
		end.Outcome = OutcomeUnknown
	}
	c.attempt++
	c.report = &simReport{end: end, history: start.History, callStep: c.callStep}
	c.phase = simReporting
	if s.fault(15) {
		c.phase = simDone // the caller gets its answer before the report is sent
		c.pendingReports = append(c.pendingReports, c.report)
		c.nextCall()
	}
}

func (c *simClient) sendReport(r *simReport) {
	h := c.home()
	c.sim.request(h, func(t Ticket) []Action { return h.core.End(t, r.end, c.sim.now) }, func(p Reply) {
		c.handleEnd(r, p.End)
	})
}

func (c *simClient) handleEnd(r *simReport, p *EndReply) {
	s := c.sim
	settled := p.Kept || p.Superseded
	r.missingPrevious = p.Refusal != nil && p.Refusal.Reason == ReasonTurn
	if p.Kept && r.end.Outcome == OutcomeCompleted && !r.committed {
		r.committed, r.returnStep = true, s.step
		s.acknowledged = append(s.acknowledged, *r)
	}
	if p.Superseded {
		assert.Assert(s.t, !r.committed, "a kept turn was superseded")
		s.counts["superseded"]++
	}
	current := c.phase == simReporting && c.report == r
	if settled {
		c.pendingReports = removeReport(c.pendingReports, r)
	} else if current {
		c.pendingReports = append(c.pendingReports, r)
	}
	if current {
		c.nextCall()
	}
}

func removeReport(reports []*simReport, r *simReport) []*simReport {
	var remaining []*simReport
	for _, other := range reports {
		if other != r {
			remaining = append(remaining, other)
		}
	}
	return remaining
}
