package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// engine is a model engine or a plain service. Crash and start are those of its process:
// connections are reset, and a new start holds and knows nothing of before.
type engine struct {
	id, service, address string
	slots                int
	events               int
	pause                time.Duration
	work                 time.Duration
	trace                *trace
	store                *store
	// reached is the engine's own path to the store.
	reached *storePath

	mu      sync.Mutex
	version string
	born    int64
	up      bool
	server  *http.Server
	conns   map[net.Conn]bool
	stop    chan struct{}
	beats   int
	running atomic.Int64
}

func (f *fleet) newEngine(id, service, version string) *engine {
	return &engine{
		id: id, service: service, address: freePort(), version: version, slots: 48, events: 30, pause: 100 * time.Millisecond,
		work: 20 * time.Millisecond, trace: f.trace, store: f.store, reached: f.store.open(),
	}
}

// start starts the process of the engine, with the software version that it has now.
func (e *engine) start() {
	l, err := net.Listen("tcp", e.address)
	check(err)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.up, e.born, e.beats = true, time.Now().UnixMilli(), 0
	e.conns, e.stop = make(map[net.Conn]bool), make(chan struct{})
	version, conns := e.version, e.conns
	e.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, version) }),
		ConnState: func(c net.Conn, s http.ConnState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if s == http.StateNew {
				conns[c] = true
			} else if s == http.StateClosed {
				delete(conns, c)
			}
		},
	}
	server, stop := e.server, e.stop
	go func() { _ = server.Serve(l) }()
	go e.beat(stop)
	e.trace.note("engine started", "engine", e.id, "version", version, "born", e.born)
}

// crash ends the process: its connections are reset, and it writes nothing any more.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	e.up = false
	close(e.stop)
	for c := range e.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	server := e.server
	_ = server.Close()
	e.trace.note("engine ended", "engine", e.id, "version", e.version)
}

// beat writes the engine's entry at its start and at each heartbeat, while it reaches the
// store.
func (e *engine) beat(stop chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	retry := time.NewTicker(200 * time.Millisecond)
	defer retry.Stop()
	written := false
	for {
		if e.reached.get() == modeServe {
			e.mu.Lock()
			e.beats++
			entry := map[string]any{
				"service": e.service, "addr": e.address, "zone": "z1", "version": e.version, "slots": e.slots,
				"state": "ready", "cold_left_ms": 0, "sequence": e.beats, "born": e.born,
			}
			e.mu.Unlock()
			e.store.put("servers", e.id, entry)
			written = true
		} else {
			written = false
		}
		for wait := true; wait; {
			select {
			case <-stop:
				return
			case <-ticker.C:
				wait = false
			case <-retry.C:
				wait = written
			}
		}
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request, version string) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", e.running.Load(), e.slots))
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", e.id)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		h.Set("X-Instance-Id", e.id)
		h.Set("X-Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("X-Request-Id", id)
	if e.running.Add(1) > int64(e.slots) {
		e.running.Add(-1)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	h.Set("X-Server-Seal", "seal-"+e.id)
	e.trace.ran(id, e.id, version, r)
	if r.Header.Get("X-Token-Count") == "" {
		time.Sleep(e.work)
		_, _ = fmt.Fprintf(w, "done %s\n", id)
		return
	}
	e.stream(w, r, version)
}

// stream sends one event each pause, from the one after Last-Event-Id on.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, version string) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	ticker := time.NewTicker(e.pause)
	defer ticker.Stop()
	for i := first + 1; i <= e.events; i++ {
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d %s\n\n", i, version, i, e.id); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}
