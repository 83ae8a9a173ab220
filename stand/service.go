package stand

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/group"
)

const (
	// HeaderIdempotencyKey names the call, so that its runs can be counted.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderCallID names the call where no idempotency key came with it.
	HeaderCallID = "X-Request-Id"
)

type (
	// ServiceConfig sets a Service up.
	ServiceConfig struct {
		// Name stands in every answer.
		Name string
		// Seed seeds the draws of probable faults.
		Seed uint64
		// Observe is told of every call that runs; it must not block.
		Observe func(ServiceRunRecord)
	}

	// ServiceFaults are the faults that a plain service shows.
	ServiceFaults struct {
		// Delay holds every answer back.
		Delay conf.Duration `json:"delay"`
		// FailProbability answers 500 without running the call.
		FailProbability float64 `json:"failProbability"`
		// Hang gives no answer, without running the call.
		Hang bool `json:"hang"`
		// CrashAfterRunNext drops the connections of that many calls after
		// running them.
		CrashAfterRunNext int `json:"crashAfterRunNext"`
		// CrashAfterRunProbability drops a call's connection after running it.
		CrashAfterRunProbability float64 `json:"crashAfterRunProbability"`
		// DependencyDown answers 503 without running the call.
		DependencyDown bool `json:"dependencyDown"`
	}

	// ServiceStats are the counts of a plain service.
	ServiceStats struct {
		// Runs counts calls that ran.
		Runs int64 `json:"runs"`
		// DoubleRuns counts runs beyond the first of an idempotency key.
		DoubleRuns int64 `json:"doubleRuns"`
		// RunsWithoutKey counts runs that named no call.
		RunsWithoutKey int64 `json:"runsWithoutKey"`
		// Failures counts calls answered with an error, without a run.
		Failures int64 `json:"failures"`
		// Crashes counts runs whose connection was dropped.
		Crashes int64 `json:"crashes"`
		// LeakedKeys counts requests that held a caller's key in clear.
		LeakedKeys int64 `json:"leakedKeys"`
		// MaxInFlight is the most calls at once.
		MaxInFlight int64 `json:"maxInFlight"`
	}

	// ServiceReply is the answer to a call that ran.
	ServiceReply struct {
		Service string `json:"service"`
		Path    string `json:"path"`
		// Run numbers the service's runs from one.
		Run int64 `json:"run"`
		// Echo is the request's body.
		Echo string `json:"echo"`
	}

	// Service stands in for a plain service.
	Service struct {
		config ServiceConfig
		server *server

		mu       sync.Mutex
		random   *rand.Rand
		faults   ServiceFaults
		lifted   chan struct{}
		stats    ServiceStats
		runs     map[string]int64
		inFlight int64
	}
)

// NewService returns a service that will listen on the address.
func NewService(config ServiceConfig, listenAddress string) *Service {
	s := &Service{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, 2)),
		lifted: make(chan struct{}),
		runs:   make(map[string]int64),
	}
	s.server = newServer(listenAddress, s.routes())
	return s
}

// Start listens and serves.
func (s *Service) Start() error { return s.server.start() }

// Close drops every connection and waits.
func (s *Service) Close() { s.server.close() }

// Address returns the address that the service listens on.
func (s *Service) Address() string { return s.server.address }

// SetFaults replaces the faults and lets hung calls go on.
func (s *Service) SetFaults(faults ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.lifted)
	s.lifted = make(chan struct{})
}

// Stats returns the counts so far.
func (s *Service) Stats() ServiceStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Runs returns how often the call with the idempotency key ran.
func (s *Service) Runs(idempotencyKey string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[idempotencyKey]
}

func (s *Service) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathStats, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Stats())
	})
	mux.HandleFunc("POST "+pathFaults, func(w http.ResponseWriter, r *http.Request) {
		var faults ServiceFaults
		if readJSON(w, r, &faults) {
			s.SetFaults(faults)
			writeJSON(w, http.StatusOK, faults)
		}
	})
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		abort()
	}
	faults, lifted, failed := s.enter(leaksKey(r.Header, body))
	defer s.leave()
	if faults.Hang {
		select {
		case <-lifted:
		case <-r.Context().Done():
		}
		abort()
	}
	if faults.DependencyDown {
		http.Error(w, "dependency down", http.StatusServiceUnavailable)
		return
	}
	if failed {
		http.Error(w, "planted failure", http.StatusInternalServerError)
		return
	}
	name := callName(r.Header)
	run, crashed := s.run(name)
	observed(s.config.Observe, ServiceRunRecord{
		Service: s.config.Name,
		Path:    r.URL.Path,
		Name:    name,
		Body:    string(body),
		At:      time.Now(),
	})
	_ = group.Sleep(r.Context(), time.Duration(faults.Delay))
	if crashed {
		abort()
	}
	writeJSON(w, http.StatusOK, ServiceReply{Service: s.config.Name, Path: r.URL.Path, Run: run, Echo: string(body)})
}

func callName(header http.Header) string {
	if name := header.Get(HeaderIdempotencyKey); name != "" {
		return name
	}
	return header.Get(HeaderCallID)
}

func (s *Service) enter(leaked bool) (faults ServiceFaults, lifted chan struct{}, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leaked {
		s.stats.LeakedKeys++
	}
	s.inFlight++
	s.stats.MaxInFlight = max(s.stats.MaxInFlight, s.inFlight)
	failed = s.faults.FailProbability > 0 && s.random.Float64() < s.faults.FailProbability
	if failed || s.faults.DependencyDown {
		s.stats.Failures++
	}
	return s.faults, s.lifted, failed
}

func (s *Service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// run counts a run and says whether the connection drops after it.
func (s *Service) run(name string) (run int64, crashed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Runs++
	if name == "" {
		s.stats.RunsWithoutKey++
	} else {
		s.runs[name]++
		if s.runs[name] > 1 {
			s.stats.DoubleRuns++
		}
	}
	if s.faults.CrashAfterRunNext > 0 {
		s.faults.CrashAfterRunNext--
		crashed = true
	}
	p := s.faults.CrashAfterRunProbability
	crashed = crashed || p > 0 && s.random.Float64() < p
	if crashed {
		s.stats.Crashes++
	}
	return s.stats.Runs, crashed
}
