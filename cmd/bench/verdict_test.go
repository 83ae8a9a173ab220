package main

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/stand"
)

func testTime(second int) time.Time { return time.Unix(int64(second), 0) }

func refused(status int, runState string, within bool) attempt {
	return attempt{
		sent: testTime(1), done: testTime(2), outcome: outcomeRefused, within: within,
		refusal: refusal{status: status, runState: runState},
	}
}

func TestCountAttempts(t *testing.T) {
	cases := []struct {
		name     string
		kind     stepKind
		attempts []attempt
		runs     []run
		want     result
	}{
		{
			name:     "a refusal within the grant",
			attempts: []attempt{refused(http.StatusTooManyRequests, runStateNotRun, true)},
			want:     result{Refusals: 1, WrongfulRefusals: 1},
		},
		{
			name:     "a refusal beyond the grant",
			attempts: []attempt{refused(http.StatusTooManyRequests, runStateNotRun, false)},
			want:     result{Refusals: 1},
		},
		{
			name:     "a refusal for the caller's own fault",
			attempts: []attempt{refused(http.StatusBadRequest, runStateNotRun, true)},
			want:     result{Refusals: 1},
		},
		{
			name:     "notRun of a call that ran",
			kind:     stepPlain,
			attempts: []attempt{refused(http.StatusServiceUnavailable, runStateNotRun, false)},
			runs:     []run{{at: testTime(1)}},
			want:     result{Refusals: 1, FalseNotRun: 1},
		},
		{
			name: "notRun of an attempt whose successor ran",
			kind: stepPlain,
			attempts: []attempt{
				refused(http.StatusServiceUnavailable, runStateNotRun, false),
				{sent: testTime(3), done: testTime(4)},
			},
			runs: []run{{at: testTime(3)}},
			want: result{Refusals: 1},
		},
		{
			name:     "unknown of a call that ran",
			kind:     stepPlain,
			attempts: []attempt{refused(http.StatusBadGateway, runStateUnknown, true)},
			runs:     []run{{at: testTime(1)}},
			want:     result{Refusals: 1, OutcomesUnknown: 1},
		},
		{
			name:     "a call that ran twice",
			kind:     stepPlain,
			attempts: []attempt{{outcome: outcomeWhole}},
			runs:     []run{{}, {}},
			want:     result{DoubleRuns: 1},
		},
		{
			name:     "a connection that was cut",
			attempts: []attempt{{outcome: outcomeCut}},
			want:     result{CutOff: 1, OutcomesUnknown: 1},
		},
		{
			name:     "a connection that was not made",
			attempts: []attempt{{outcome: outcomeNotSent}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLedger(load{}, testTime(0))
			l.addCall(&callRecord{marker: "m", kind: c.kind, attempts: c.attempts})
			l.runs["m"] = c.runs
			var got result
			l.countCalls(&got)
			c.want.Calls = 1
			assert.Equal(t, got, c.want)
		})
	}
}

func TestCountTurn(t *testing.T) {
	first := stand.Message{Role: "user", Content: "first"}
	second := stand.Message{Role: "user", Content: "second"}
	other := stand.Message{Role: "user", Content: "other"}
	history := []stand.Message{first, second}
	cases := []struct {
		name    string
		given   []stand.Message
		answer  string
		program string
		want    result
	}{
		{name: "its own history", given: history},
		{name: "a turn is missing", given: []stand.Message{second}, want: result{TurnsLost: 1}},
		{name: "turns are reordered", given: []stand.Message{second, first}, want: result{TurnsMixed: 1}},
		{name: "another's turn", given: []stand.Message{other, second}, want: result{TurnsMixed: 1}},
		{name: "a turn stands twice", given: []stand.Message{first, first, second}, want: result{TurnsMixed: 1}},
		{name: "another program's name", given: history, program: "taken", want: result{TurnsMixed: 1}},
		{
			name: "an answer that is not whole", given: history,
			answer: stand.AnswerDigest("p", history), want: result{AnswersBroken: 1},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			program := "p"
			if c.program != "" {
				program = c.program
			}
			answer := stand.AnswerText(program, c.given, 4)
			if c.answer != "" {
				answer = c.answer
			}
			l := newLedger(load{}, testTime(0))
			record := &callRecord{root: "root", history: history, tokens: 4, attempts: []attempt{{answer: answer}}}
			runs := []run{{program: program, digest: stand.AnswerDigest(program, c.given)}}
			var got result
			l.countTurn(record, runs, map[string]string{"taken": "another root"}, &got)
			assert.Equal(t, got, c.want)
		})
	}
}
