package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, from its page and the deployment's sheet.
const (
	storeCallBytes   = 1_000_000
	storeCallEntries = 100
	storeRowBytes    = 65536
	storePageRows    = 500
	storeTxTime      = 5 * time.Millisecond
	storeReadTime    = 4 * time.Millisecond
)

type (
	rowID struct {
		Table string `json:"table"`
		Part  string `json:"part"`
		Key   string `json:"key"`
	}

	row struct {
		rowID
		Value   []byte `json:"value"`
		Version int64  `json:"row_version"`
		Deleted bool   `json:"deleted,omitempty"`
	}

	tableStore struct {
		address string
		started time.Time
		server  *http.Server

		mu      sync.Mutex
		rows    map[rowID]row
		history []row
		version int64
		changed chan struct{}
		// tooLarge counts the transactions that exceeded the size of a call.
		tooLarge int
	}
)

// startStore serves the platform's table store on a free loopback port.
func startStore() (*tableStore, error) {
	listener, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	s := &tableStore{
		address: listener.Addr().String(),
		started: time.Now(),
		rows:    make(map[rowID]row),
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.serveTx)
	mux.HandleFunc("GET /-/rows-get", s.serveGet)
	mux.HandleFunc("GET /-/rows-parts", s.serveParts)
	mux.HandleFunc("GET /-/rows-feed", s.serveFeed)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a row as the operator or an engine does.
func (s *tableStore) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{rowID: rowID{Table: table, Key: key}, Value: encoded}}, nil)
}

func (s *tableStore) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []rowID{{Table: table, Key: key}})
}

// apply makes one transaction. The caller holds the lock.
func (s *tableStore) apply(writes []row, removes []rowID) {
	s.version++
	for _, w := range writes {
		w.Version = s.version
		s.rows[w.rowID] = w
		s.history = append(s.history, w)
	}
	for _, id := range removes {
		if _, ok := s.rows[id]; ok {
			delete(s.rows, id)
			s.history = append(s.history, row{rowID: id, Version: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *tableStore) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = time.Since(s.started).Milliseconds() + 1
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *tableStore) serveTx(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expect []row   `json:"expect"`
		Writes []row   `json:"writes"`
		Remove []rowID `json:"remove"`
		Across bool    `json:"across"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(storeTxTime)
	size := 0
	parts := make(map[string]bool)
	for _, e := range txn.Expect {
		parts[e.Part] = true
	}
	for _, e := range txn.Writes {
		size += len(e.Value)
		parts[e.Part] = true
		if len(e.Value) == 0 || len(e.Value) > storeRowBytes || len(e.Key) > 200 || e.Key == "" {
			http.Error(w, "row refused", http.StatusBadRequest)
			return
		}
		if e.Table == "op" || e.Table == "servers" {
			http.Error(w, "not yours", http.StatusForbidden)
			return
		}
	}
	for _, id := range txn.Remove {
		parts[id.Part] = true
	}
	if size > storeCallBytes || len(txn.Expect)+len(txn.Writes)+len(txn.Remove) > storeCallEntries {
		s.mu.Lock()
		s.tooLarge++
		s.mu.Unlock()
		http.Error(w, "a call holds at most 100 entries and at most 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	if len(parts) > 1 && !txn.Across {
		http.Error(w, "several parts", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, conflict := []row{}, false
	for _, e := range txn.Expect {
		have, ok := s.rows[e.rowID]
		conflict = conflict || have.Version != e.Version
		if ok {
			current = append(current, have)
		}
	}
	if conflict {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "row_version": s.version})
		return
	}
	s.apply(txn.Writes, txn.Remove)
	s.reply(w, http.StatusOK, map[string]any{"row_version": s.version})
}

func (s *tableStore) serveGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeReadTime)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > storePageRows {
		limit = storePageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for id, have := range s.rows {
		if id.Table == q.Get("table") && id.Part == q.Get("part") && id.Key >= q.Get("from") && (q.Get("to") == "" || id.Key < q.Get("to")) {
			found = append(found, have)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	n, size := 0, 0
	for n < len(found) && n < limit && (n == 0 || size+len(found[n].Value) <= storeCallBytes) {
		size += len(found[n].Value)
		n++
	}
	s.reply(w, http.StatusOK, map[string]any{"rows": found[:n], "has_more": n < len(found), "row_version": s.version})
}

func (s *tableStore) serveParts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeReadTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	q, seen := r.URL.Query(), make(map[string]bool)
	parts := []string{}
	for id := range s.rows {
		if id.Table == q.Get("table") && !seen[id.Part] && (!q.Has("after") || id.Part > q.Get("after")) {
			seen[id.Part] = true
			parts = append(parts, id.Part)
		}
	}
	sort.Strings(parts)
	s.reply(w, http.StatusOK, map[string]any{"parts": parts[:min(len(parts), 1000)], "row_version": s.version})
}

func (s *tableStore) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	time.Sleep(storeReadTime)
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changes := []row{}
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Version > after {
				changes = append(changes, h)
			}
		}
		changed := s.changed
		if len(changes) > 0 {
			s.reply(w, http.StatusOK, map[string]any{"rows": changes, "row_version": s.version})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			s.mu.Lock()
			s.reply(w, http.StatusOK, map[string]any{"rows": changes, "row_version": s.version})
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}
