package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/stand"
)

const (
	maxAttempts = 10
	// maxUnknowns is how often a caller is told that the outcome is unknown
	// until it asks a person.
	maxUnknowns  = 2
	retryPause   = 50 * time.Millisecond
	maxRetryWait = time.Second

	modelName    = "fitting-1"
	plainService = "booking"
	plainPath    = "/v1/services/" + plainService + "/reserve"
	poisonMark   = "POISONED"
	filler       = "obi sash kimono collar sleeve length "
)

// runner runs programs as their callers would.
type runner struct {
	ledger   *ledger
	balancer *balancer
	caller   *caller
	keys     []string
}

// conversation is a program under way.
type conversation struct {
	runner  *runner
	plan    plan
	root    string
	id      string
	history []stand.Message
}

// runAll runs each program at its time and waits for all of them.
func (r *runner) runAll(ctx context.Context, plans []plan) {
	g := group.NewGroup(ctx)
	began := time.Now()
	for _, p := range plans {
		if !group.Sleep(ctx, time.Until(began.Add(p.at))) {
			break
		}
		g.Go(func(ctx context.Context) { r.runProgram(ctx, p, began.Add(p.at)) })
	}
	g.Wait()
}

// runProgram runs one program; its latency counts from when it was due.
func (r *runner) runProgram(ctx context.Context, p plan, due time.Time) {
	c := &conversation{runner: r, plan: p, root: p.name}
	ok := c.run(ctx, "")
	r.ledger.addProgram(programRecord{
		plan:    p,
		id:      c.id,
		latency: time.Since(due),
		ended:   time.Now(),
		failed:  !ok,
	})
	c.close(ctx)
}

func (c *conversation) run(ctx context.Context, parent string) bool {
	if !c.open(ctx, parent) {
		return false
	}
	for i, s := range c.plan.steps {
		if !group.Sleep(ctx, s.pause) || !c.step(ctx, i, s) {
			return false
		}
	}
	return true
}

func (c *conversation) step(ctx context.Context, index int, s step) bool {
	marker := fmt.Sprintf("#call:%s.%d#", c.plan.name, index)
	switch s.kind {
	case stepPlain:
		return c.plainStep(ctx, marker, s)
	case stepChild:
		child := &conversation{runner: c.runner, plan: *s.child, root: c.root}
		ok := child.run(ctx, c.id)
		child.close(ctx)
		return ok
	}
	return c.modelStep(ctx, marker, s)
}

func (c *conversation) modelStep(ctx context.Context, marker string, s step) bool {
	message := stand.Message{Role: "user", Content: prompt(marker, s)}
	record := &callRecord{
		marker: marker, team: c.plan.team, root: c.root, kind: stepModel, tokens: s.answerTokens, poison: s.poison,
		history: append(c.history[:len(c.history):len(c.history)], message),
	}
	body, err := json.Marshal(stand.ChatRequest{
		Model: modelName, Messages: []stand.Message{message}, Stream: s.stream, MaxTokens: s.answerTokens,
	})
	if err != nil {
		return false
	}
	c.call(ctx, record, "/v1/chat/completions", body, s)
	whole := record.whole()
	if whole == nil {
		return false
	}
	c.history = append(record.history, stand.Message{Role: "assistant", Content: whole.answer})
	return true
}

// plainStep goes on with the program also where the outcome stays unknown: its
// caller would have to ask a person.
func (c *conversation) plainStep(ctx context.Context, marker string, s step) bool {
	record := &callRecord{marker: marker, team: c.plan.team, root: c.root, kind: stepPlain}
	c.call(ctx, record, plainPath, []byte(marker), s)
	last := record.attempts[len(record.attempts)-1]
	return last.outcome == outcomeWhole || last.refusal.runState != runStateNotRun
}

// prompt returns a message of the step's length that carries the marker.
func prompt(marker string, s step) string {
	text := marker
	if s.poison {
		text += poisonMark
	}
	missing := max(0, s.promptTokens*4-len(text))
	return text + strings.Repeat(filler, missing/len(filler)+1)[:missing]
}

// call sends the call until it is answered, for good or as often as a caller
// would.
func (c *conversation) call(ctx context.Context, record *callRecord, path string, body []byte, s step) {
	r := c.runner
	r.ledger.addCall(record)
	key := r.keys[c.plan.team]
	holdsToken := false
	for range maxAttempts {
		header := http.Header{}
		header.Set(programHeader, c.id)
		header.Set(idempotencyHeader, record.marker)
		if s.copyKey {
			header.Set(copiedKeyHeader, key)
		}
		within := holdsToken || r.ledger.take(record.team, time.Now())
		a := r.send(ctx, request{method: http.MethodPost, path: path, key: key, header: header, body: body}, within)
		holdsToken = a.outcome == outcomeRefused && a.wrongful()
		if !holdsToken && (a.outcome == outcomeNotSent || a.outcome == outcomeRefused) {
			r.ledger.giveBack(record.team, a.done)
		}
		r.ledger.addAttempt(record, a)
		if record.unknowns() >= maxUnknowns || !a.retryable() || !group.Sleep(ctx, a.retryWait()) {
			return
		}
	}
}

// send sends the request to the instance whose turn it is.
func (r *runner) send(ctx context.Context, q request, within bool) attempt {
	q.address = r.balancer.pick()
	a := r.caller.do(ctx, q, within)
	if a.outcome == outcomeNotSent {
		r.balancer.drop(q.address)
	}
	return a
}

func (a attempt) retryable() bool {
	switch a.outcome {
	case outcomeWhole:
		return false
	case outcomeCut, outcomeNotSent:
		return true
	}
	if a.refusal.runState == runStateRan {
		return false
	}
	return a.refusal.status == http.StatusTooManyRequests || a.refusal.status >= http.StatusInternalServerError
}

func (a attempt) retryWait() time.Duration {
	return min(maxRetryWait, max(retryPause, a.refusal.retryAfter))
}

func (c *conversation) open(ctx context.Context, parent string) bool {
	body, err := json.Marshal(programBody{Parent: parent})
	if err != nil {
		return false
	}
	header := http.Header{}
	header.Set(idempotencyHeader, "#open:"+c.plan.name+"#")
	a := c.manage(ctx, request{method: http.MethodPost, path: "/v1/programs", header: header, body: body})
	var reply programBody
	if a.outcome != outcomeWhole || json.Unmarshal([]byte(a.answer), &reply) != nil {
		return false
	}
	c.id = reply.Program
	return c.id != ""
}

func (c *conversation) close(ctx context.Context) {
	if c.id != "" {
		c.manage(ctx, request{method: http.MethodDelete, path: "/v1/programs/" + c.id})
	}
}

// manage sends a request that is not counted as a call.
func (c *conversation) manage(ctx context.Context, q request) attempt {
	r := c.runner
	q.key = r.keys[c.plan.team]
	var a attempt
	for range maxAttempts {
		a = r.send(ctx, q, false)
		if !a.retryable() || !group.Sleep(ctx, a.retryWait()) {
			break
		}
	}
	r.ledger.addManaged(a)
	return a
}
