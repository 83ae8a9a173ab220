package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Conditions of the path between one instance and the store.
const (
	pathSound pathState = iota
	// pathReset resets each call.
	pathReset
	// pathSilent never answers, and drops the answers of calls in progress.
	pathSilent
)

const (
	// readTime and commitTime are how long the store takes for a call.
	readTime   = 4 * time.Millisecond
	commitTime = 5 * time.Millisecond
	// maxPage is the maximum number of rows of one answer.
	maxPage = 500
)

type (
	pathState int

	rowID struct {
		Table string `json:"table"`
		Part  string `json:"part"`
		Key   string `json:"key"`
	}

	row struct {
		rowID
		Value   string `json:"value"`
		Version int64  `json:"row_version"`
		Deleted bool   `json:"deleted,omitempty"`
	}

	rowsReply struct {
		Rows    []row `json:"rows"`
		More    bool  `json:"has_more"`
		Version int64 `json:"row_version"`
		NowMs   int64 `json:"now_ms"`
	}

	transaction struct {
		Expect []struct {
			rowID
			Version int64 `json:"row_version"`
		} `json:"expect"`
		Writes []struct {
			rowID
			Value string `json:"value"`
		} `json:"writes"`
		Remove []rowID `json:"remove"`
	}

	// store is the platform's metadata store: rows in tables, kept in memory. It loses
	// nothing that it has acknowledged, and keeps its whole history.
	store struct {
		started time.Time
		mu      sync.Mutex
		rows    map[rowID]row
		changes []row
		version int64
		// changed is closed and replaced at each transaction.
		changed chan struct{}
	}

	// storePath is one instance's own address of the store.
	storePath struct {
		store    *store
		listener net.Listener
		mu       sync.Mutex
		state    pathState
		// moved is closed and replaced when the state changes.
		moved chan struct{}
	}
)

func newStore() *store {
	return &store{started: time.Now(), rows: make(map[rowID]row), changed: make(chan struct{})}
}

// newPath opens a further address of the store.
func (s *store) newPath() *storePath {
	p := &storePath{store: s, listener: listenAnywhere(), moved: make(chan struct{})}
	server := &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(p.listener) }()
	return p
}

func (p *storePath) address() string { return p.listener.Addr().String() }

// set changes the condition of the path, also for the calls in progress.
func (p *storePath) set(state pathState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	close(p.moved)
	p.moved = make(chan struct{})
}

func (p *storePath) current() (pathState, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.moved
}

// ServeHTTP answers a call unless the path is broken before its answer is sent.
func (p *storePath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	state, moved := p.current()
	if state != pathSound {
		p.fail(w, r, state)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	done := make(chan func(), 1)
	go func() { done <- p.store.answer(ctx, w, r) }()
	select {
	case write := <-done:
		write()
	case <-moved:
		cancel()
		<-done
		state, _ = p.current()
		p.fail(w, r, state)
	}
}

func (p *storePath) fail(w http.ResponseWriter, r *http.Request, state pathState) {
	if state == pathSilent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	resetConnection(w)
}

// answer carries out the call and returns the function that sends its answer.
func (s *store) answer(ctx context.Context, w http.ResponseWriter, r *http.Request) func() {
	status, reply := http.StatusNotFound, any(struct{}{})
	switch r.URL.Path {
	case "/-/rows-tx":
		var t transaction
		if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
			status = http.StatusBadRequest
			break
		}
		pause(ctx, commitTime)
		status, reply = s.commit(t)
	case "/-/rows-get":
		pause(ctx, readTime)
		status, reply = http.StatusOK, s.list(r.URL.Query().Get)
	case "/-/rows-parts":
		pause(ctx, readTime)
		status, reply = http.StatusOK, s.parts(r.URL.Query().Get("table"))
	case "/-/rows-feed":
		query := r.URL.Query()
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		status, reply = http.StatusOK, s.feed(ctx, query.Get("table"), after, time.Duration(wait)*time.Millisecond)
	}
	return func() {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(reply)
	}
}

func (s *store) commit(t transaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range t.Writes {
		if w.Table == "op" || w.Table == "servers" {
			return http.StatusForbidden, struct{}{}
		}
	}
	current := make([]row, 0, len(t.Expect))
	met := true
	for _, x := range t.Expect {
		if found, ok := s.rows[x.rowID]; ok {
			current = append(current, found)
		}
		met = met && s.rows[x.rowID].Version == x.Version
	}
	if !met {
		return http.StatusPreconditionFailed, s.reply(current, false)
	}
	s.version++
	for _, w := range t.Writes {
		s.put(row{rowID: w.rowID, Value: w.Value, Version: s.version})
	}
	for _, id := range t.Remove {
		if _, ok := s.rows[id]; ok {
			s.put(row{rowID: id, Version: s.version, Deleted: true})
		}
	}
	s.wake()
	return http.StatusOK, s.reply([]row{}, false)
}

// put applies one change. The caller holds the lock.
func (s *store) put(r row) {
	if r.Deleted {
		delete(s.rows, r.rowID)
	} else {
		s.rows[r.rowID] = r
	}
	s.changes = append(s.changes, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write sets a row for the operator or an engine.
func (s *store) write(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row{rowID: rowID{Table: table, Key: key}, Value: base64.StdEncoding.EncodeToString(encoded), Version: s.version})
	s.wake()
}

// remove deletes a row for the operator or an engine.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row{rowID: rowID{Table: table, Key: key}, Version: s.version, Deleted: true})
	s.wake()
}

func (s *store) reply(found []row, more bool) rowsReply {
	return rowsReply{Rows: found, More: more, Version: s.version, NowMs: time.Since(s.started).Milliseconds()}
}

func (s *store) list(get func(string) string) rowsReply {
	limit, err := strconv.Atoi(get("limit"))
	if err != nil || limit > maxPage {
		limit = maxPage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for id, r := range s.rows {
		if id.Table == get("table") && id.Part == get("part") && id.Key >= get("from") && (get("to") == "" || id.Key < get("to")) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > limit
	return s.reply(found[:min(len(found), limit)], more)
}

func (s *store) parts(table string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for id := range s.rows {
		if id.Table == table && !slices.Contains(names, id.Part) {
			names = append(names, id.Part)
		}
	}
	slices.Sort(names)
	return struct {
		Parts   []string `json:"parts"`
		Version int64    `json:"row_version"`
	}{names, s.version}
}

func (s *store) feed(ctx context.Context, table string, after int64, wait time.Duration) rowsReply {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		found := []row{}
		for _, r := range s.changes {
			if r.Table == table && r.Version > after {
				found = append(found, r)
			}
		}
		reply, changed := s.reply(found, false), s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			return reply
		}
		select {
		case <-changed:
		case <-timer.C:
			return reply
		case <-ctx.Done():
			return reply
		}
	}
}
