package stand

import (
	"bytes"
	"context"
	"time"

	"github.com/buckthorntide/buckthorntide/group"

	"github.com/juju/errors"
)

const (
	errCrashed   = errors.ConstError("engine crashed")
	errCancelled = errors.ConstError("call cancelled")
)

// engineRun is one model call inside an engine. The engine's lock guards it.
type engineRun struct {
	id      string
	program string
	request ChatRequest
	poison  bool
	cancel  context.CancelCauseFunc
	cache   *prefixCache
	ctx     context.Context

	chunks   []string
	usage    ChatUsage
	ended    bool
	err      error
	endedAt  time.Time
	readers  int
	cutAfter int
	changed  chan struct{}
}

func newEngineRun(id, program string, request ChatRequest, body []byte, poison string) *engineRun {
	return &engineRun{
		id:       id,
		program:  program,
		request:  request,
		poison:   poison != "" && bytes.Contains(body, []byte(poison)),
		cutAfter: -1,
		changed:  make(chan struct{}),
	}
}

// wake tells every reader that the run has changed.
func (r *engineRun) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// execute takes the run through the engine: slot, prefill, decode.
func (e *Engine) execute(run *engineRun) {
	err := e.executeSteps(run)
	e.mu.Lock()
	defer e.mu.Unlock()
	run.ended = true
	run.err = err
	run.endedAt = time.Now()
	e.inFlight--
	if err == nil {
		e.stats.Completed++
		e.warmth.complete()
	}
	if errors.Is(err, errCancelled) {
		e.stats.Cancelled++
	}
	e.noteLoad()
	run.wake()
}

func (e *Engine) executeSteps(run *engineRun) error {
	if err := e.awaitFaults(run); err != nil {
		return err
	}
	waiter, err := e.takeSlot(run)
	if err != nil {
		return err
	}
	defer e.leaveSlot(waiter)
	observed(e.config.Observe, EngineRunRecord{
		Engine:    e.config.Name,
		RequestID: run.id,
		Program:   run.program,
		Messages:  run.request.Messages,
		At:        time.Now(),
	})
	if run.poison {
		e.crash(true)
		return errCrashed
	}
	defer e.releasePrefix(run)
	if err := e.prefill(run); err != nil {
		return err
	}
	return e.decode(run)
}

func (e *Engine) awaitFaults(run *engineRun) error {
	e.mu.Lock()
	faults, lifted := e.faults, e.lifted
	e.mu.Unlock()
	if faults.Hang {
		select {
		case <-lifted:
		case <-run.ctx.Done():
			return context.Cause(run.ctx)
		}
	}
	if !group.Sleep(run.ctx, time.Duration(faults.Slow)) {
		return context.Cause(run.ctx)
	}
	return nil
}

func (e *Engine) takeSlot(run *engineRun) (*slotWaiter, error) {
	e.mu.Lock()
	waiter := e.slots.enter(run.request.Priority)
	e.noteLoad()
	e.mu.Unlock()
	select {
	case <-waiter.granted:
	case <-run.ctx.Done():
		e.leaveSlot(waiter)
		return nil, context.Cause(run.ctx)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Runs++
	e.ran[run.id]++
	if e.ran[run.id] > 1 {
		e.stats.DoubleRuns++
	}
	return waiter, nil
}

func (e *Engine) leaveSlot(waiter *slotWaiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	waiter.queue.leave(waiter)
	e.noteLoad()
}

// prefill computes the part of the prompt that the cache does not hold.
// Prefills share the engine one after the other.
func (e *Engine) prefill(run *engineRun) error {
	prefix := newPrefix(run.request.Messages)
	if !group.Sleep(run.ctx, time.Until(e.startPrefill(run, prefix))) {
		return context.Cause(run.ctx)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if run.ctx.Err() == nil {
		e.keepPrefix(run.program, prefix)
	}
	return nil
}

// startPrefill counts the prompt's tokens and returns when its prefill ends.
func (e *Engine) startPrefill(run *engineRun, prefix Prefix) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.cache = e.cache
	run.cache.use(run.program)
	prompt := prefix.tokens()
	hit := e.cache.shared(run.program, prefix)
	held := e.config.Held.shared(run.program, prefix)
	run.usage.PromptTokens = prompt
	run.usage.CachedTokens = hit
	e.stats.PromptTokens += int64(prompt)
	e.stats.CacheHitTokens += int64(hit)
	e.stats.PrefillTokens += int64(prompt - hit)
	e.stats.RecomputedTokens += int64(max(0, held-hit))
	now := time.Now()
	if e.prefillFree.Before(now) {
		e.prefillFree = now
	}
	e.prefillFree = e.prefillFree.Add(e.spend(prompt-hit, e.config.PrefillTokensPerSecond))
	return e.prefillFree
}

// spend returns the time that the tokens take; a cold engine is slower.
func (e *Engine) spend(tokens int, tokensPerSecond float64) time.Duration {
	seconds := float64(tokens) / tokensPerSecond
	if e.warmth.cold {
		seconds *= e.config.ColdSlowdown
	}
	return time.Duration(seconds * float64(time.Second))
}

func (e *Engine) keepPrefix(program string, prefix Prefix) {
	fresh := e.cache.get(program) == nil
	e.cache.store(program, prefix)
	if fresh {
		e.cache.use(program)
	}
	e.config.Held.hold(program, prefix)
}

func (e *Engine) releasePrefix(run *engineRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if run.cache != nil {
		run.cache.release(run.program)
	}
}

func (e *Engine) decode(run *engineRun) error {
	tokens := run.request.MaxTokens
	if tokens == 0 {
		tokens = defaultMaxTokens
	}
	due := time.Now()
	for _, chunk := range Answer(run.program, run.request.Messages, tokens) {
		e.mu.Lock()
		due = due.Add(e.spend(1, e.config.DecodeTokensPerSecond))
		e.mu.Unlock()
		if !group.Sleep(run.ctx, time.Until(due)) {
			return context.Cause(run.ctx)
		}
		e.addChunk(run, chunk)
	}
	e.keepAnswer(run)
	return nil
}

func (e *Engine) addChunk(run *engineRun, chunk string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.chunks = append(run.chunks, chunk)
	run.usage.CompletionTokens++
	run.usage.TotalTokens = run.usage.PromptTokens + run.usage.CompletionTokens
	run.wake()
}

// keepAnswer lets the cached prefix grow by the answer.
func (e *Engine) keepAnswer(run *engineRun) {
	messages := append([]Message{}, run.request.Messages...)
	messages = append(messages, Message{Role: roleAssistant, Content: joinChunks(run.chunks)})
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cache.get(run.program) == nil || run.ctx.Err() != nil {
		return
	}
	e.keepPrefix(run.program, newPrefix(messages))
}
