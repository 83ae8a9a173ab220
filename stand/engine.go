package stand

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	defaultSlots            = 8
	defaultPrefillPerSecond = 20000
	defaultDecodePerSecond  = 400
	defaultCacheTokens      = 200000
	defaultColdSlowdown     = 3
	defaultTransferSpeed    = 200000
	defaultResumeGrace      = 500 * time.Millisecond
	defaultRestartDelay     = 200 * time.Millisecond
	runRetention            = 10 * time.Second
)

type (
	// EngineConfig sets an Engine up; zero fields take the defaults.
	EngineConfig struct {
		Name string
		// Slots is how many calls run at once.
		Slots int
		// PrefillTokensPerSecond is the speed of the whole engine.
		PrefillTokensPerSecond float64
		// DecodeTokensPerSecond is the speed of each call.
		DecodeTokensPerSecond float64
		// CacheTokens is what the prefix cache holds.
		CacheTokens int
		// TransferTokensPerSecond is the speed of cache export and import.
		TransferTokensPerSecond float64
		// StartCold starts the engine cold.
		StartCold bool
		// ColdSlots is how many calls a cold engine can bear at first; each
		// completed call adds one.
		ColdSlots int
		// ColdSlowdown divides the speed of a cold engine.
		ColdSlowdown float64
		// RestartDelay is how long the engine is away after a crash.
		RestartDelay time.Duration
		// ResumeGrace is how long a call without a reader goes on.
		ResumeGrace time.Duration
		// LoadLag and EventLag hold reports and cache events back.
		LoadLag  time.Duration
		EventLag time.Duration
		// EventGap is the probability that a cache event gets lost.
		EventGap float64
		// Poison is text that crashes the engine when a request holds it.
		Poison string
		// ChecksFence makes the engine refuse orders with an old fence.
		ChecksFence bool
		// Models are the models that are loaded at the start.
		Models []string
		// Seed seeds the draws of lost events.
		Seed uint64
		// Observe is told of every call that begins to run; it must not block.
		Observe func(EngineRunRecord)
		// Held is shared by engines that serve the same programs.
		Held *HeldPrefixes
	}

	// Engine stands in for a model engine.
	Engine struct {
		config EngineConfig
		server *server

		mu     sync.Mutex
		random *rand.Rand
		// starts counts the engine's starts.
		starts int
		// unannounced says that the engine turned cold without a start.
		unannounced bool
		epoch       context.Context
		endEpoch    context.CancelCauseFunc
		awayUntil   time.Time
		slots       *slotQueue
		cache       *prefixCache
		warmth      warmth
		prefillFree time.Time
		inFlight    int
		runs        map[string]*engineRun
		ran         map[string]int
		nextRun     int64
		events      []stamped[CacheEvent]
		eventSeq    int64
		load        lagged[EngineLoad]
		serving     OrderReply
		faults      EngineFaults
		lifted      chan struct{}
		stats       EngineStats
	}

	// EngineLoad is an engine's lagging report of its load.
	EngineLoad struct {
		// Epoch changes with each start of the engine.
		Epoch   string `json:"epoch"`
		Running int    `json:"running"`
		Queued  int    `json:"queued"`
		// CacheTokens is the tokens that the cache holds.
		CacheTokens int `json:"cacheTokens"`
		// CacheLimit is the tokens that it can hold.
		CacheLimit int `json:"cacheLimit"`
		// Coldish says that the engine has lately started; one that turned cold
		// by itself does not say so.
		Coldish bool `json:"coldish"`
	}
)

// NewEngine returns an engine that will listen on the address.
func NewEngine(config EngineConfig, listenAddress string) *Engine {
	config = config.withDefaults()
	e := &Engine{
		config:  config,
		random:  rand.New(rand.NewPCG(config.Seed, 3)),
		runs:    make(map[string]*engineRun),
		ran:     make(map[string]int),
		load:    lagged[EngineLoad]{lag: config.LoadLag},
		serving: OrderReply{Models: config.Models},
		lifted:  make(chan struct{}),
		warmth:  warmth{coldSlots: config.ColdSlots, slots: config.Slots},
	}
	e.reset()
	if config.StartCold {
		e.turnCold()
		e.noteLoad()
	}
	e.server = newServer(listenAddress, e.routes())
	return e
}

// Start listens and serves.
func (e *Engine) Start() error { return e.server.start() }

// Close drops every connection and waits.
func (e *Engine) Close() {
	e.mu.Lock()
	e.endEpoch(errCancelled)
	e.mu.Unlock()
	e.server.close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
}

// Address returns the address that the engine listens on.
func (e *Engine) Address() string { return e.server.address }

// Stats returns the counts so far.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.CacheTokens = e.cache.used
	stats.Evictions += e.cache.evictions
	return stats
}

// Cache returns what the cache holds, by program.
func (e *Engine) Cache() []CacheEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.list()
}

// SetFaults replaces the faults and lets hung calls go on.
func (e *Engine) SetFaults(faults EngineFaults) {
	if faults.Crash {
		e.crash(false)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if faults.TurnCold {
		e.emptyCache()
		e.turnCold()
		e.unannounced = true
	}
	faults.Crash = false
	faults.TurnCold = false
	e.faults = faults
	close(e.lifted)
	e.lifted = make(chan struct{})
}

func (c EngineConfig) withDefaults() EngineConfig {
	setDefault(&c.Slots, defaultSlots)
	setDefault(&c.PrefillTokensPerSecond, defaultPrefillPerSecond)
	setDefault(&c.DecodeTokensPerSecond, defaultDecodePerSecond)
	setDefault(&c.CacheTokens, defaultCacheTokens)
	setDefault(&c.TransferTokensPerSecond, defaultTransferSpeed)
	setDefault(&c.ColdSlots, 1)
	setDefault(&c.ColdSlowdown, defaultColdSlowdown)
	setDefault(&c.RestartDelay, defaultRestartDelay)
	setDefault(&c.ResumeGrace, defaultResumeGrace)
	if c.Held == nil {
		c.Held = NewHeldPrefixes()
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathStats, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Stats())
	})
	mux.HandleFunc("POST "+pathFaults, e.serveFaults)
	mux.HandleFunc("POST /v1/chat/completions", e.gated(e.serveChat))
	mux.HandleFunc("GET /v1/requests/{id}/stream", e.gated(e.serveResume))
	mux.HandleFunc("DELETE /v1/requests/{id}", e.gated(e.serveCancel))
	mux.HandleFunc("GET /v1/cache", e.gated(e.serveCache))
	mux.HandleFunc("DELETE /v1/cache/{program}", e.gated(e.serveDropCache))
	mux.HandleFunc("POST /v1/cache/{program}/export", e.gated(e.serveExport))
	mux.HandleFunc("POST /v1/cache/{program}/import", e.gated(e.serveImport))
	mux.HandleFunc("GET /v1/cache/events", e.gated(e.serveEvents))
	mux.HandleFunc("GET /v1/load", e.gated(e.serveLoad))
	mux.HandleFunc("GET /v1/orders", e.gated(e.serveServing))
	mux.HandleFunc("POST /v1/orders", e.gated(e.serveOrders))
	return mux
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults EngineFaults
	if !readJSON(w, r, &faults) {
		return
	}
	e.SetFaults(faults)
	writeJSON(w, http.StatusOK, faults)
}

// gated drops the connection while the engine is away or down.
func (e *Engine) gated(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		away := e.faults.Down || time.Now().Before(e.awayUntil)
		e.mu.Unlock()
		if away {
			abort()
		}
		next(w, r)
	}
}

// crash ends every call, forgets everything and restarts the engine cold.
func (e *Engine) crash(poisoned bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Crashes++
	if poisoned {
		e.stats.Poisonings++
	}
	e.endEpoch(errCrashed)
	e.reset()
	e.awayUntil = time.Now().Add(e.config.RestartDelay)
	e.turnCold()
	e.noteLoad()
}

// reset begins an epoch with an empty cache.
func (e *Engine) reset() {
	ctx, cancel := context.WithCancelCause(context.Background())
	e.starts++
	e.unannounced = false
	e.epoch = ctx
	e.endEpoch = cancel
	e.slots = &slotQueue{free: e.config.Slots}
	e.prefillFree = time.Time{}
	e.emptyCache()
	e.noteLoad()
}

func (e *Engine) emptyCache() {
	if e.cache != nil {
		e.stats.Evictions += e.cache.evictions
	}
	e.cache = newPrefixCache(e.config.CacheTokens, e.noteEvent)
}

func (e *Engine) turnCold() {
	e.stats.ColdStarts++
	e.warmth.turnCold()
}

func (e *Engine) noteLoad() {
	running := e.config.Slots - e.slots.free
	e.load.set(EngineLoad{
		Running:     running,
		Queued:      len(e.slots.waiting),
		Epoch:       strconv.Itoa(e.starts),
		CacheTokens: e.cache.used,
		CacheLimit:  e.config.CacheTokens,
		Coldish:     e.warmth.cold && !e.unannounced,
	}, time.Now())
}

// noteEvent numbers the event and keeps it, unless it gets lost.
func (e *Engine) noteEvent(kind EventKind, program string, tokens int) {
	e.eventSeq++
	if e.random.Float64() < e.config.EventGap {
		return
	}
	event := CacheEvent{Sequence: e.eventSeq, Kind: kind, Program: program, Tokens: tokens}
	e.events = append(e.events, stamped[CacheEvent]{at: time.Now(), value: event})
	if len(e.events) > maxEvents {
		e.events = e.events[1:]
	}
}

func joinChunks(chunks []string) string { return strings.Join(chunks, "") }
