package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/buckthorntide/buckthorntide/group"
)

const finishStop = "stop"

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		abort()
	}
	var request ChatRequest
	r.Body = io.NopCloser(bytes.NewReader(body))
	if !readJSON(w, r, &request) {
		return
	}
	run := newEngineRun(r.Header.Get(HeaderCallID), r.Header.Get(HeaderProgram), request, body, e.config.Poison)
	if !e.admit(run, leaksKey(r.Header, body)) {
		http.Error(w, "model not loaded", http.StatusNotFound)
		return
	}
	e.server.group.Go(func(context.Context) { e.execute(run) })
	if request.Stream {
		e.stream(w, r, run, 0)
		return
	}
	e.whole(w, r, run)
}

// admit counts the call in and gives it its context.
func (e *Engine) admit(run *engineRun, leaked bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Requests++
	if leaked {
		e.stats.LeakedKeys++
	}
	if len(e.serving.Models) > 0 && !slices.Contains(e.serving.Models, run.request.Model) {
		return false
	}
	if run.id == "" {
		e.nextRun++
		run.id = fmt.Sprintf("%s-%d", e.config.Name, e.nextRun)
	}
	if run.request.Stream && e.faults.CutStreamNext > 0 {
		e.faults.CutStreamNext--
		run.cutAfter = max(1, run.request.MaxTokens/2)
	}
	run.ctx, run.cancel = context.WithCancelCause(e.epoch)
	e.inFlight++
	e.countCold()
	e.forgetRuns(time.Now())
	e.runs[run.id] = run
	return true
}

func (e *Engine) countCold() {
	if !e.warmth.cold {
		return
	}
	e.stats.MaxInFlightCold = max(e.stats.MaxInFlightCold, int64(e.inFlight))
	if e.inFlight > e.warmth.bearable() {
		e.stats.ColdOverloads++
	}
}

func (e *Engine) forgetRuns(now time.Time) {
	for id, run := range e.runs {
		if run.ended && now.Sub(run.endedAt) > runRetention {
			delete(e.runs, id)
		}
	}
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		http.Error(w, "from must be a number of chunks", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	run := e.runs[r.PathValue("id")]
	e.mu.Unlock()
	if run == nil {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	e.stream(w, r, run, from)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	run := e.runs[r.PathValue("id")]
	e.mu.Unlock()
	if run == nil {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	run.cancel(errCancelled)
	w.WriteHeader(http.StatusNoContent)
}

// whole answers once the run has ended.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, run *engineRun) {
	e.attach(run)
	defer e.detach(run)
	for {
		view := e.view(run, 0)
		if view.failed() {
			abort()
		}
		if view.ended {
			message := &Message{Role: roleAssistant, Content: joinChunks(view.chunks)}
			choice := ChatChoice{Message: message, FinishReason: new(finishStop)}
			writeJSON(w, http.StatusOK, run.reply("chat.completion", choice, &view.usage))
			return
		}
		if !awaitChange(r.Context(), view.changed) {
			return
		}
	}
}

// stream sends the run's chunks from the given one on, as server-sent events.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, run *engineRun, from int) {
	e.attach(run)
	defer e.detach(run)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for next := from; ; {
		view := e.view(run, next)
		for _, chunk := range view.chunks {
			run.send(w, chunk)
			next++
			if next == view.cutAfter {
				_ = flusher.Flush()
				e.uncut(run)
				abort()
			}
		}
		if view.failed() {
			abort()
		}
		if view.ended {
			run.sendEnd(w, view.usage)
			return
		}
		_ = flusher.Flush()
		if !awaitChange(r.Context(), view.changed) {
			return
		}
	}
}

// runView is what a reader sees of a run at one moment.
type runView struct {
	chunks   []string
	usage    ChatUsage
	ended    bool
	err      error
	cutAfter int
	changed  chan struct{}
}

func (v runView) failed() bool { return v.ended && v.err != nil }

func (e *Engine) view(run *engineRun, from int) runView {
	e.mu.Lock()
	defer e.mu.Unlock()
	return runView{
		chunks:   run.chunks[min(from, len(run.chunks)):],
		usage:    run.usage,
		ended:    run.ended,
		err:      run.err,
		cutAfter: run.cutAfter,
		changed:  run.changed,
	}
}

func (e *Engine) uncut(run *engineRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.cutAfter = -1
}

func (e *Engine) attach(run *engineRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.readers++
}

// detach cancels the run if it has no reader after the grace.
func (e *Engine) detach(run *engineRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.readers--
	if !run.abandoned() {
		return
	}
	e.server.group.Go(func(context.Context) {
		if group.Sleep(run.ctx, e.config.ResumeGrace) {
			e.cancelAbandoned(run)
		}
	})
}

func (e *Engine) cancelAbandoned(run *engineRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if run.abandoned() {
		run.cancel(errCancelled)
	}
}

func (r *engineRun) abandoned() bool { return r.readers == 0 && !r.ended }

func (r *engineRun) reply(object string, choice ChatChoice, usage *ChatUsage) ChatReply {
	return ChatReply{ID: r.id, Object: object, Model: r.request.Model, Choices: []ChatChoice{choice}, Usage: usage}
}

func (r *engineRun) send(w io.Writer, chunk string) {
	delta := &Message{Role: roleAssistant, Content: chunk}
	r.sendEvent(w, r.reply("chat.completion.chunk", ChatChoice{Delta: delta}, nil))
}

func (r *engineRun) sendEnd(w io.Writer, usage ChatUsage) {
	choice := ChatChoice{Delta: &Message{}, FinishReason: new(finishStop)}
	r.sendEvent(w, r.reply("chat.completion.chunk", choice, &usage))
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func (r *engineRun) sendEvent(w io.Writer, reply ChatReply) {
	body, err := json.Marshal(reply)
	if err != nil {
		abort()
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", body)
}

// awaitChange returns false if the context ended first.
func awaitChange(ctx context.Context, changed chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}
