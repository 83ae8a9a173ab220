package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Modes of a path to the store.
const (
	modeServe  = ""
	modeSilent = "silent"
	modeBusy   = "busy" // 503
	modeReset  = "reset"
)

const (
	txnTime     = 5 * time.Millisecond
	answerTime  = 2 * time.Millisecond
	historyTime = 20 * time.Second
)

type rowID struct{ table, part, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`

	at time.Time
}

// store is the platform's table service. Each front reaches it on an address of its own,
// so that it can turn single machines away.
type store struct {
	started time.Time
	mu      sync.Mutex
	rows    map[rowID]row
	log     []row
	version int64
	oldest  int64 // the newest version that the history has dropped
	changed chan struct{}
	paths   []*storePath
}

// storePath is one machine's way to the store.
type storePath struct {
	store   *store
	address string
	server  *http.Server
	mu      sync.Mutex
	mode    string
}

func newStore() *store {
	return &store{started: time.Now(), rows: make(map[rowID]row), version: 1, changed: make(chan struct{})}
}

// open returns a new path to the store.
func (s *store) open() *storePath {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	p := &storePath{store: s, address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", p.guard(s.serveTxn))
	mux.HandleFunc("GET /-/rows-get", p.guard(s.serveGet))
	mux.HandleFunc("GET /-/rows-feed", p.guard(s.serveFeed))
	mux.HandleFunc("GET /-/rows-parts", p.guard(s.serveParts))
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(l) }()
	s.paths = append(s.paths, p)
	return p
}

func (s *store) close() {
	for _, p := range s.paths {
		_ = p.server.Close()
	}
}

// setAll sets the mode of all paths.
func (s *store) setAll(mode string) {
	for _, p := range s.paths {
		p.set(mode)
	}
}

func (p *storePath) set(mode string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

func (p *storePath) get() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// guard turns calls away while the path is disrupted. A call that is held when a
// disruption begins gets no answer either.
func (p *storePath) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p.refuse(w, r) {
			return
		}
		buffered := &bufferedAnswer{header: make(http.Header), status: http.StatusOK}
		next(buffered, r)
		if p.refuse(w, r) {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(buffered.status)
		_, _ = w.Write(buffered.body)
	}
}

func (p *storePath) refuse(w http.ResponseWriter, r *http.Request) bool {
	switch p.get() {
	case modeBusy:
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return true
	case modeReset:
		panic(http.ErrAbortHandler)
	case modeSilent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return false
}

type bufferedAnswer struct {
	header http.Header
	status int
	body   []byte
}

func (b *bufferedAnswer) Header() http.Header { return b.header }

func (b *bufferedAnswer) WriteHeader(status int) { b.status = status }

func (b *bufferedAnswer) Write(p []byte) (int, error) {
	b.body = append(b.body, p...)
	return len(p), nil
}

func (s *store) reply(w http.ResponseWriter, status int, fields map[string]any) {
	s.mu.Lock()
	if _, ok := fields["row_version"]; !ok {
		fields["row_version"] = s.version
	}
	s.mu.Unlock()
	fields["now_ms"] = time.Since(s.started).Milliseconds()
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

type txn struct {
	Expect []row `json:"expect"`
	Writes []row `json:"writes"`
	Remove []row `json:"remove"`
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, x := range append(append([]row{}, t.Writes...), t.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			http.Error(w, "the operator's and the engines' tables", http.StatusForbidden)
			return
		}
	}
	time.Sleep(txnTime)
	current, ok := s.apply(t)
	if !ok {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.reply(w, http.StatusOK, map[string]any{})
}

// apply applies the transaction, or returns the current rows of its conditions.
func (s *store) apply(t txn) ([]row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	met := true
	current := []row{}
	for _, x := range t.Expect {
		found, ok := s.rows[rowID{x.Table, x.Part, x.Key}]
		if ok {
			current = append(current, found)
		}
		met = met && found.Version == x.Version
	}
	if !met {
		return current, false
	}
	s.version++
	now := time.Now()
	for _, x := range t.Writes {
		x.Version, x.at = s.version, now
		s.rows[rowID{x.Table, x.Part, x.Key}] = x
		s.log = append(s.log, x)
	}
	for _, x := range t.Remove {
		id := rowID{x.Table, x.Part, x.Key}
		if _, ok := s.rows[id]; ok {
			delete(s.rows, id)
			s.log = append(s.log, row{Table: x.Table, Part: x.Part, Key: x.Key, Version: s.version, Deleted: true, at: now})
		}
	}
	for len(s.log) > 0 && now.Sub(s.log[0].at) > historyTime {
		s.oldest, s.log = s.log[0].Version, s.log[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil, true
}

// put writes a row of the operator or of an engine.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	check(err)
	s.apply(txn{Writes: []row{{Table: table, Key: key, Value: text}}})
}

func (s *store) drop(table, key string) {
	s.apply(txn{Remove: []row{{Table: table, Key: key}}})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	found := []row{}
	for id, x := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			found = append(found, x)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > limit
	if more {
		found = found[:limit]
	}
	s.reply(w, http.StatusOK, map[string]any{"rows": found, "has_more": more, "row_version": version})
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	seen := make(map[string]bool)
	for id := range s.rows {
		if id.table == r.URL.Query().Get("table") {
			seen[id.part] = true
		}
	}
	version := s.version
	s.mu.Unlock()
	parts := []string{}
	for p := range seen {
		if p > r.URL.Query().Get("after") || r.URL.Query().Get("after") == "" {
			parts = append(parts, p)
		}
	}
	sort.Strings(parts)
	s.reply(w, http.StatusOK, map[string]any{"parts": parts, "row_version": version})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		found, version, gone, changed := s.since(q.Get("table"), after)
		if gone {
			http.Error(w, "gone", http.StatusGone)
			return
		}
		expired := false
		if len(found) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline.C:
				expired = true
			}
		}
		if expired {
			// Nothing of the table has changed; later versions may have come meanwhile.
			found, version, gone, _ = s.since(q.Get("table"), after)
			if gone {
				http.Error(w, "gone", http.StatusGone)
				return
			}
		}
		s.reply(w, http.StatusOK, map[string]any{"rows": found, "row_version": version})
		return
	}
}

// since returns the latest state of the rows that changed after the version.
func (s *store) since(table string, after int64) (found []row, version int64, gone bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.oldest {
		return nil, 0, true, nil
	}
	latest := make(map[rowID]row)
	for _, x := range s.log {
		if x.Table == table && x.Version > after {
			latest[rowID{x.Table, x.Part, x.Key}] = x
		}
	}
	found = make([]row, 0, len(latest))
	for _, x := range latest {
		found = append(found, x)
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Version < found[j].Version })
	return found, s.version, false, s.changed
}

func check(err error) {
	if err != nil {
		panic(fmt.Sprintf("setup: %v", err))
	}
}
