package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// stride is how many tokens an event of a stream counts for.
	stride = 26
)

type (
	// engine is one server of a service. It registers in the store, runs requests and
	// answers for the instance that it is named as only.
	engine struct {
		store   *store
		record  *record
		id      string
		service string
		zone    string
		slots   int
		// workTime is how long a request of a plain service takes, and the time
		// between two events of a stream.
		workTime time.Duration
		// runs is told of each request that begins to run, and reads of its body; both
		// may be nil.
		runs  func(e *engine, r *http.Request)
		reads func(e *engine, body string)

		server  *http.Server
		address string
		mu      sync.Mutex
		running int
		beats   int
		// listed is set while the engine writes its entry, heard while the store takes
		// it.
		listed bool
		heard  bool
		ended  chan struct{}
	}
)

// start opens the engine's port and registers it.
func (e *engine) start() {
	listener := listenAnywhere()
	e.address = listener.Addr().String()
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	e.ended = make(chan struct{})
	e.listed, e.heard = true, true
	go func() { _ = e.server.Serve(listener) }()
	e.beat()
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				e.beat()
			case <-e.ended:
				return
			}
		}
	}()
}

func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.listed || !e.heard {
		return
	}
	e.beats++
	e.store.write("servers", e.id, map[string]any{
		"service": e.service, "addr": e.address, "zone": e.zone, "version": "v1", "slots": e.slots,
		"state": "ready", "cold_left_ms": 0, "sequence": e.beats,
	})
}

// reach tells whether the store takes the engine's heartbeats.
func (e *engine) reach(heard bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heard = heard
}

// unlist removes the engine's entry. The engine goes on serving.
func (e *engine) unlist() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listed = false
	e.store.remove("servers", e.id)
}

// stop ends the engine and all its connections at once.
func (e *engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.ended:
		return
	default:
	}
	e.listed = false
	close(e.ended)
	_ = e.server.Close()
}

// ServeHTTP runs one request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	header := w.Header()
	header.Set("X-Instance-Id", e.id)
	if id != "" {
		header.Set("X-Request-Id", id)
	}
	switch {
	case r.URL.Path == "/health":
		return
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !e.enter() {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.leave()
	e.record.write("engine %s runs %s", e.id, id)
	if e.runs != nil {
		e.runs(e, r)
	}
	if e.reads != nil {
		e.reads(e, string(body))
	}
	header.Set("X-Server-Seal", "seal-"+e.id)
	header.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", e.busy(), e.slots))
	if most := r.Header.Get("X-Token-Count"); most != "" {
		e.stream(w, r, most)
		return
	}
	if pauseFor(r, e.workTime) {
		_, _ = io.WriteString(w, "done "+id+"\n")
	}
}

// stream generates the most tokens that the request allows.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, counts string) {
	_, out, _ := strings.Cut(counts, ",")
	tokens, _ := strconv.Atoi(out)
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	flush := http.NewResponseController(w)
	for i := first + 1; i <= tokens/stride; i++ {
		if !pauseFor(r, e.workTime) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil || flush.Flush() != nil {
			return
		}
	}
}

func (e *engine) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.slots {
		return false
	}
	e.running++
	return true
}

func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *engine) busy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}
