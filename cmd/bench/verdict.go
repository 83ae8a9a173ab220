package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/buckthorntide/buckthorntide/stand"
)

// codesNotWrongful are refusals that a caller has brought on itself.
var codesNotWrongful = map[string]bool{"poison": true, "badRequest": true, "unauthorised": true}

// countCalls compares what callers were told with what the stand-ins saw.
func (l *ledger) countCalls(into *result) {
	programs := make(map[string]string)
	for _, c := range l.calls {
		into.Calls++
		runs := l.runs[c.marker]
		if c.kind == stepPlain {
			into.DoubleRuns += max(0, len(runs)-1)
		} else {
			l.countTurn(c, runs, programs, into)
		}
		countAttempts(c, runs, into)
	}
	for _, a := range l.managed {
		if a.outcome == outcomeCut {
			into.CutOff++
		}
	}
}

func countAttempts(c *callRecord, runs []run, into *result) {
	for i, a := range c.attempts {
		switch a.outcome {
		case outcomeCut:
			into.CutOff++
		case outcomeRefused:
			into.Refusals++
			if a.wrongful() {
				into.WrongfulRefusals++
			}
			if a.refusal.runState == runStateNotRun && ranDuring(c.attempts, i, runs) {
				into.FalseNotRun++
			}
		}
	}
	last := c.attempts[len(c.attempts)-1]
	if last.outcome == outcomeCut || last.outcome == outcomeRefused && last.refusal.runState == runStateUnknown {
		into.OutcomesUnknown++
	}
}

// wrongful says that the call was turned away although the team was within its
// grant. One that ran, or may have run, was not turned away.
func (a attempt) wrongful() bool {
	limited := a.refusal.status == http.StatusTooManyRequests || a.refusal.status >= http.StatusInternalServerError
	return limited && a.within && a.refusal.runState == runStateNotRun && !codesNotWrongful[a.refusal.code]
}

// ranDuring says whether the call began to run between the attempt and the next.
func ranDuring(attempts []attempt, index int, runs []run) bool {
	from := attempts[index].sent
	to := time.Now()
	if index+1 < len(attempts) {
		to = attempts[index+1].sent
	}
	for _, r := range runs {
		if !r.at.Before(from) && r.at.Before(to) {
			return true
		}
	}
	return false
}

// countTurn checks that the answer is that of an engine which was given exactly
// the program's own history.
func (l *ledger) countTurn(c *callRecord, runs []run, programs map[string]string, into *result) {
	whole := c.whole()
	if whole == nil {
		return
	}
	for _, r := range runs {
		if root, known := programs[r.program]; known && root != c.root {
			into.TurnsMixed++
			return
		}
		programs[r.program] = c.root
		if whole.answer == stand.AnswerText(r.program, c.history, c.tokens) {
			return
		}
	}
	var messages int
	_, text, _ := strings.Cut(whole.answer, " ")
	_, _ = fmt.Sscanf(text, "messages:%d", &messages)
	switch {
	case rightDigest(c, whole.answer, runs):
		into.AnswersBroken++
	case messages < len(c.history):
		into.TurnsLost++
	default:
		into.TurnsMixed++
	}
}

func rightDigest(c *callRecord, answer string, runs []run) bool {
	for _, r := range runs {
		digest := stand.AnswerDigest(r.program, c.history)
		if r.digest == digest && strings.HasPrefix(answer, digest) {
			return true
		}
	}
	return false
}

// countGrants checks each team's answered calls against its grant.
func (l *ledger) countGrants(teams []teamLoad, into *result) {
	spans := make([][]span, len(teams))
	for _, c := range l.calls {
		if s, ok := c.span(); ok {
			spans[c.team] = append(spans[c.team], s)
		}
	}
	for i, team := range teams {
		into.OverGranted += overGranted(spans[i], team.ratePerSecond, team.burst)
	}
}
