package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two entries of an engine in the store.
const heartbeat = 1200 * time.Millisecond

type (
	// engineConfig sets one engine up. Streams send their events one by one; all others
	// answer with one body after the work.
	engineConfig struct {
		ID, Service, Zone, Version string
		Slots                      int
		// Work is how long a plain request takes, Gap the time between two events.
		Work, Gap time.Duration
		// Events is how many events a stream has.
		Events int
		// Way is the one-way delay between the machines of two zones.
		Way time.Duration
		// Streams are the path prefixes of streaming routes.
		Streams []string
		// Crashes is the path prefix of requests that crash the engine CrashAfter they began
		// to run. It is back after Down under a new ID.
		Crashes          string
		CrashAfter, Down time.Duration
	}

	// run is one request that an engine ran.
	run struct {
		at               time.Time
		id, engine, path string
		version, tenant  string
		status           int
		bodyBytes        int
		lastEvent        string
	}

	// places counts the slots of all engines that are taken, and the most so far.
	places struct {
		now, most atomic.Int64
	}

	// engine stands in for an engine or a plain server.
	engine struct {
		config  engineConfig
		address string
		store   *tableStore
		taken   *places
		// slowness multiplies the work.
		slowness atomic.Int64
		running  atomic.Int64

		mu sync.Mutex
		// id is that of the incarnation, server its server, stop ends its heartbeats and conns
		// are its open connections.
		id     string
		server *http.Server
		stop   chan struct{}
		conns  map[net.Conn]bool
		// version is the software's; sameID keeps the ID over a restart.
		version string
		sameID  bool
		state   string
		born    int64
		starts  int
		ended   bool
		runs    []run
		crashed []time.Time
	}
)

// startEngine serves on a free loopback port and registers in the store.
func startEngine(store *tableStore, taken *places, config engineConfig) (*engine, error) {
	e := &engine{config: config, address: freeAddress(), store: store, taken: taken, version: config.Version, state: "ready"}
	e.slowness.Store(1)
	return e, e.start()
}

// start begins an incarnation.
func (e *engine) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return nil
	}
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.starts++
	e.id = e.config.ID
	if e.starts > 1 && !e.sameID {
		e.id = fmt.Sprintf("%s-%d", e.config.ID, e.starts)
	}
	id, version, stop := e.id, e.version, make(chan struct{})
	e.stop, e.conns = stop, make(map[net.Conn]bool)
	e.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, id, version) }),
		ConnState: func(conn net.Conn, state http.ConnState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.conns[conn] = state != http.StateClosed
		},
	}
	server := e.server
	go func() { _ = server.Serve(listener) }()
	e.born = time.Now().UnixMilli()
	go func() {
		for sequence := 1; ; sequence++ {
			e.beat(id, version, sequence)
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	return nil
}

// beat writes the engine's entry.
func (e *engine) beat(id, version string, sequence int) {
	e.mu.Lock()
	state, born := e.state, e.born
	e.mu.Unlock()
	e.store.put("servers", id, map[string]any{
		"service": e.config.Service, "addr": e.address, "zone": e.config.Zone, "version": version,
		"slots": e.config.Slots, "state": state, "cold_left_ms": 0, "sequence": sequence, "born": born,
	})
}

// drain reports that the engine leaves; it goes on serving for the time and then ends.
func (e *engine) drain(serves time.Duration) {
	e.mu.Lock()
	e.state = "draining"
	id, version := e.id, e.version
	e.mu.Unlock()
	e.beat(id, version, 1000)
	time.AfterFunc(serves, func() {
		e.close()
		e.store.remove("servers", id)
	})
}

// crash ends the incarnation at once: its port refuses connections and those that it had are
// reset. It comes back later, and its entry is removed after three heartbeats.
func (e *engine) crash(id string) {
	e.mu.Lock()
	if e.id != id || e.ended {
		e.mu.Unlock()
		return
	}
	e.id = ""
	e.crashed = append(e.crashed, time.Now())
	server, open := e.server, []net.Conn{}
	for conn, isOpen := range e.conns {
		if isOpen {
			open = append(open, conn)
		}
	}
	close(e.stop)
	e.stop = nil
	e.mu.Unlock()
	// The listener goes first, as in a process that ends.
	for _, conn := range open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = server.Close()
	if !e.sameID {
		time.AfterFunc(3*heartbeat, func() { e.store.remove("servers", id) })
	}
	time.AfterFunc(e.config.Down, func() { _ = e.start() })
}

func (p *places) add() {
	now := p.now.Add(1)
	for most := p.most.Load(); now > most && !p.most.CompareAndSwap(most, now); most = p.most.Load() {
	}
}

func (p *places) peak() int64 { return p.most.Load() }

// restart ends the incarnation at once and begins the next one under the same ID, with the
// given software, after a pause.
func (e *engine) restart(version string, pause time.Duration) {
	e.mu.Lock()
	e.sameID, e.version, e.config.Down = true, version, pause
	id := e.id
	e.mu.Unlock()
	e.crash(id)
}

func (e *engine) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	if e.stop != nil {
		close(e.stop)
		e.stop = nil
		_ = e.server.Close()
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request, instance, version string) {
	time.Sleep(e.config.Way)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance-Id", instance)
	w.Header().Set("X-Request-Id", id)
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	refuse := func(status int) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != instance {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	running := e.running.Add(1)
	defer e.running.Add(-1)
	if running > int64(e.config.Slots) {
		refuse(http.StatusServiceUnavailable)
		return
	}
	e.taken.add()
	defer e.taken.now.Add(-1)
	this := run{
		at: time.Now(), id: id, engine: instance, path: r.RequestURI, version: version,
		tenant: r.Header.Get("X-Tenant"), bodyBytes: len(body), lastEvent: r.Header.Get("Last-Event-Id"), status: http.StatusOK,
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.runs = append(e.runs, this)
	}()
	w.Header().Set("X-Server-Seal", "seal."+instance+"."+id)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, e.config.Slots))
	if e.config.Crashes != "" && strings.HasPrefix(r.URL.Path, e.config.Crashes) {
		this.status = 0
		time.Sleep(e.config.CrashAfter)
		e.crash(instance)
		return
	}
	if e.streams(r.URL.Path) {
		e.stream(w, r, this.lastEvent, version)
		return
	}
	work := e.config.Work * time.Duration(e.slowness.Load())
	if left, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil && time.Duration(left)*time.Millisecond < work {
		// An engine stops its work at the value that it receives.
		work, this.status = time.Duration(left)*time.Millisecond, http.StatusGatewayTimeout
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		this.status = 0
		return
	}
	time.Sleep(e.config.Way)
	w.WriteHeader(this.status)
	_, _ = io.WriteString(w, "done by "+instance+"\n")
}

func (e *engine) streams(path string) bool {
	for _, prefix := range e.config.Streams {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// stream sends the events after the last one that the caller has.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, lastEvent, version string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	first, _ := strconv.Atoi(lastEvent)
	for i := first + 1; i <= e.config.Events; i++ {
		select {
		case <-time.After(e.config.Gap * time.Duration(e.slowness.Load())):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, version); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

func (e *engine) allRuns() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}
