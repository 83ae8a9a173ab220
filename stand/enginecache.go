package stand

import (
	"net/http"
	"strconv"
	"time"

	"github.com/buckthorntide/buckthorntide/group"
)

// maxEvents bounds the cache events that an engine keeps.
const maxEvents = 10000

func (e *Engine) serveCache(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	sequence := e.eventSeq
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, CacheList{Sequence: sequence, Entries: e.Cache()})
}

func (e *Engine) serveDropCache(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	removed := e.cache.remove(r.PathValue("program"))
	e.noteLoad()
	e.mu.Unlock()
	if !removed {
		http.Error(w, "no such prefix", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	program := r.PathValue("program")
	e.mu.Lock()
	entry := e.cache.get(program)
	var prefix Prefix
	if entry != nil {
		prefix = entry.prefix
	}
	e.mu.Unlock()
	if entry == nil {
		http.Error(w, "no such prefix", http.StatusNotFound)
		return
	}
	if !group.Sleep(r.Context(), e.transferTime(prefix)) {
		abort()
	}
	writeJSON(w, http.StatusOK, CacheBlob{Program: program, Tokens: prefix.tokens(), Prefix: prefix})
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var blob CacheBlob
	if !readJSON(w, r, &blob) {
		return
	}
	if !group.Sleep(r.Context(), e.transferTime(blob.Prefix)) {
		abort()
	}
	e.mu.Lock()
	e.stats.Imports++
	e.cache.store(r.PathValue("program"), blob.Prefix)
	e.noteLoad()
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) transferTime(prefix Prefix) time.Duration {
	seconds := float64(prefix.tokens()) / e.config.TransferTokensPerSecond
	return time.Duration(seconds * float64(time.Second))
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	now := time.Now()
	found := []CacheEvent{}
	e.mu.Lock()
	for _, event := range e.events {
		if now.Sub(event.at) < e.config.EventLag {
			break
		}
		if event.value.Sequence > after {
			found = append(found, event.value)
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, CacheEvents{Events: found})
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := e.load.get(time.Now())
	load.CacheLimit = e.config.CacheTokens
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, load)
}
