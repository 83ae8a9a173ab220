package stand

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/store"
)

type (
	// PlatformConfig sets a Platform up.
	PlatformConfig struct {
		// ListLag is how long the instance list lags behind announcements.
		ListLag time.Duration
		// Seed seeds the draws of probable faults.
		Seed uint64
	}

	// Platform stands in for the platform: table service, object store and
	// instance list. What it holds outlives Close, so that a closed platform
	// can be started again on the same address.
	Platform struct {
		config PlatformConfig
		server *server

		mu        sync.Mutex
		random    *rand.Rand
		rows      *store.Memory
		objects   map[string][]byte
		instances *lagList
		faults    PlatformFaults
		lifted    chan struct{}
		stats     PlatformStats
	}
)

// NewPlatform returns a platform that will listen on the address.
func NewPlatform(config PlatformConfig, listenAddress string) *Platform {
	p := &Platform{
		config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, 1)),
		rows:      store.NewMemory(),
		objects:   make(map[string][]byte),
		instances: newLagList(config.ListLag),
		lifted:    make(chan struct{}),
	}
	p.server = newServer(listenAddress, p.routes())
	return p
}

// Start listens and serves.
func (p *Platform) Start() error { return p.server.start() }

// Close drops every connection and waits. Connections are refused until the
// next Start.
func (p *Platform) Close() { p.server.close() }

// Address returns the address that the platform listens on.
func (p *Platform) Address() string { return p.server.address }

// SetFaults replaces the faults and lets hung requests go on.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	close(p.lifted)
	p.lifted = make(chan struct{})
}

// Stats returns the counts so far.
func (p *Platform) Stats() PlatformStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.Rows = p.rows.Len()
	stats.Objects = len(p.objects)
	return stats
}

// Rows returns the rows whose key has the prefix, for the reader's own count.
func (p *Platform) Rows(prefix string) []store.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rows.Range(prefix, "", p.rows.Len())
}

func (p *Platform) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathStats, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Stats())
	})
	mux.HandleFunc("POST "+pathFaults, p.serveFaults)
	mux.HandleFunc("POST "+store.PathGet, p.gated(p.serveGet))
	mux.HandleFunc("POST "+store.PathRange, p.gated(p.serveRange))
	mux.HandleFunc("POST "+store.PathCommit, p.gated(p.serveCommit))
	mux.HandleFunc("GET "+store.PathObjects, p.gated(p.serveListObjects))
	mux.HandleFunc("GET "+store.PathObjects+"/{name...}", p.gated(p.serveGetObject))
	mux.HandleFunc("PUT "+store.PathObjects+"/{name...}", p.gated(p.servePutObject))
	mux.HandleFunc("DELETE "+store.PathObjects+"/{name...}", p.gated(p.serveDeleteObject))
	mux.HandleFunc("GET "+store.PathInstances, p.gated(p.serveInstances))
	mux.HandleFunc("POST "+store.PathInstances, p.gated(p.serveAnnounce))
	return mux
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	if !readJSON(w, r, &faults) {
		return
	}
	p.SetFaults(faults)
	writeJSON(w, http.StatusOK, faults)
}

// gated lets a request through as the faults allow and counts leaked keys.
func (p *Platform) gated(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			abort()
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !p.pass(r) {
			abort()
		}
		if leaksKey(r.Header, body) {
			p.mu.Lock()
			p.stats.LeakedKeys++
			p.mu.Unlock()
		}
		next(w, r)
	}
}

func (p *Platform) pass(r *http.Request) bool {
	p.mu.Lock()
	faults, lifted := p.faults, p.lifted
	if faults.Down != DownNo {
		p.stats.Dropped++
	}
	p.mu.Unlock()
	if faults.Down == DownHang {
		select {
		case <-lifted:
		case <-r.Context().Done():
		}
		return false
	}
	if faults.Down == DownDrop || faults.TableDown && isTable(r.URL.Path) {
		return false
	}
	return group.Sleep(r.Context(), time.Duration(faults.Slow)) || faults.Slow > 0
}

// isTable tells whether the path is one of the table service.
func isTable(path string) bool {
	return path == store.PathGet || path == store.PathRange || path == store.PathCommit
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	var request store.GetRequest
	if !readJSON(w, r, &request) {
		return
	}
	p.mu.Lock()
	p.stats.Reads++
	row, ok := p.rows.Get(request.Key)
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, row)
}

func (p *Platform) serveRange(w http.ResponseWriter, r *http.Request) {
	var request store.RangeRequest
	if !readJSON(w, r, &request) {
		return
	}
	p.mu.Lock()
	p.stats.Reads++
	found := p.rows.Range(request.Prefix, request.After, request.Limit)
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, store.RangeReply{Rows: found})
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var txn store.Txn
	if !readJSON(w, r, &txn) {
		return
	}
	version, against, lost := p.commit(txn)
	if lost {
		abort()
	}
	if len(against) > 0 {
		writeJSON(w, http.StatusConflict, store.ConflictReply{Rows: against})
		return
	}
	writeJSON(w, http.StatusOK, store.CommitReply{Version: version})
}

func (p *Platform) commit(txn store.Txn) (version int64, against []store.Row, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	version, against = p.rows.Commit(txn)
	if len(against) > 0 {
		p.stats.Conflicts++
		return 0, against, false
	}
	p.stats.Commits++
	p.stats.RowsWritten += int64(len(txn.Writes))
	lost = p.losesAnswer()
	if lost {
		p.stats.AnswersLost++
	}
	return version, nil, lost
}

func (p *Platform) losesAnswer() bool {
	if p.faults.LoseNext > 0 {
		p.faults.LoseNext--
		return true
	}
	return p.faults.LoseProbability > 0 && p.random.Float64() < p.faults.LoseProbability
}

func (p *Platform) serveListObjects(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	names := []string{}
	p.mu.Lock()
	p.stats.ObjectReads++
	for name := range p.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	p.mu.Unlock()
	slices.Sort(names)
	writeJSON(w, http.StatusOK, store.ObjectList{Names: names})
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.stats.ObjectReads++
	body, ok := p.objects[r.PathValue("name")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		abort()
	}
	p.mu.Lock()
	p.stats.ObjectWrites++
	p.objects[r.PathValue("name")] = body
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveDeleteObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.stats.ObjectWrites++
	delete(p.objects, r.PathValue("name"))
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveInstances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	list := p.instances.list(time.Now())
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, store.InstanceList{Instances: list})
}

func (p *Platform) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var instance store.Instance
	if !readJSON(w, r, &instance) {
		return
	}
	p.mu.Lock()
	p.instances.announce(instance, time.Now())
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
