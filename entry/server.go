// Package entry is the HTTP server for callers. Its handlers authenticate the
// caller, parse the request and delegate to package calls.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/buckthorntide/buckthorntide/calls"
	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/drain"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/keys"
)

const (
	// readHeaderTimeout limits the time to read a request's headers.
	readHeaderTimeout = 10 * time.Second
	// maxBodyBytes is the maximum size of a request's body.
	maxBodyBytes = 32 << 20
)

type (
	// KeyChecker authenticates callers by their keys.
	KeyChecker interface {
		// Check returns the identity that the key represents; it fails if the key
		// is unknown or withdrawn.
		Check(key string) (keys.Identity, error)
	}

	// StreamRegistry cancels calls whose key is withdrawn.
	StreamRegistry interface {
		// Register arranges that cancel is called when the key is withdrawn;
		// release removes the registration.
		Register(key keys.Hash, cancel func()) (release func(), err error)
	}

	// TextSource provides the operators' text that is in effect.
	TextSource interface {
		Text() *conf.Text
	}

	// Health reports whether the instance accepts calls.
	Health interface {
		// NotReadyReason returns why the load balancer must not send calls, or an empty
		// string if it may.
		NotReadyReason() string
		// Draining reports whether the instance is draining for a planned stop.
		Draining() bool
		// RefusalReason returns why every call must be refused, or an empty string if calls
		// are accepted.
		RefusalReason() string
	}

	// Server is the HTTP server for callers.
	Server struct {
		common          *common.Common
		keys            KeyChecker
		streams         StreamRegistry
		texts           TextSource
		health          Health
		opener          *calls.Opener
		modelExecutor   *calls.ModelExecutor
		plainExecutor   *calls.PlainExecutor
		server          *drain.Server
		runningRequests atomic.Int64
		// requests is the parent of the requests' contexts.
		requests    context.Context
		endRequests context.CancelCauseFunc
		group       *group.Group
	}
)

// NewServer listens on the address (IP:port); Start serves the connections.
func NewServer(
	c *common.Common,
	address string,
	keyChecker KeyChecker,
	streams StreamRegistry,
	texts TextSource,
	health Health,
	opener *calls.Opener,
	modelExecutor *calls.ModelExecutor,
	plainExecutor *calls.PlainExecutor,
) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "listen for callers")
	}
	s := &Server{
		common:        c.Part("entry"),
		keys:          keyChecker,
		streams:       streams,
		texts:         texts,
		health:        health,
		opener:        opener,
		modelExecutor: modelExecutor,
		plainExecutor: plainExecutor,
		group:         group.NewGroup(context.Background()),
	}
	s.requests, s.endRequests = context.WithCancelCause(context.Background())
	s.server = drain.NewServer(listener, &http.Server{Handler: s.routes(), ReadHeaderTimeout: readHeaderTimeout})
	return s, nil
}

// Address returns the address (IP:port) that the server listens on.
func (s *Server) Address() string { return s.server.Address() }

// RunningRequests returns the number of requests in flight.
func (s *Server) RunningRequests() int { return int(s.runningRequests.Load()) }

// Start serves requests in the background.
func (s *Server) Start() {
	s.group.Go(func(context.Context) {
		if err := s.server.Serve(); err != nil {
			s.common.Log.Error("server for callers stops unexpectedly", "error", err)
		}
	})
}

// EndCalls ends the calls that run and the read of bodies. The callers are told what is
// known of their calls, until the given time.
func (s *Server) EndCalls(writeBy time.Time) {
	if running := s.RunningRequests(); running > 0 {
		s.common.Log.Warn("drain ends before the requests in flight", "requests", running)
	}
	s.endRequests(calls.ErrStopping)
	if err := s.server.EndTransfers(writeBy); err != nil {
		s.common.Log.Warn("failed to bound the requests in flight", "error", err)
	}
}

// Shutdown accepts no new connections and waits until the requests in flight
// are complete or the context is done.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close closes every connection and waits until Serve has returned.
func (s *Server) Close() {
	s.server.Close()
	s.group.Close()
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.healthz)
	mux.HandleFunc("POST /v1/programs", s.withCaller(s.openProgram))
	mux.HandleFunc("DELETE /v1/programs/{program}", s.withCaller(s.closeProgram))
	mux.HandleFunc("POST /v1/chat/completions", s.withCaller(s.complete))
	mux.HandleFunc("/v1/services/{service}/{path...}", s.callService)
	mux.HandleFunc("/", s.unknownPath)
	return s.instrument(mux)
}

// instrument records the request metrics, limits the body's size and, while the
// instance drains, closes the connection after the response.
func (s *Server) instrument(next http.Handler) http.Handler {
	requests := metrics.GetOrRegisterTimer("entry.requests", s.common.Metrics)
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		s.runningRequests.Add(1)
		defer s.runningRequests.Add(-1)
		start := s.common.Clock.Now()
		defer func() { requests.Update(s.common.Clock.Now().Sub(start)) }()
		q.Body = http.MaxBytesReader(w, q.Body, maxBodyBytes)
		ctx, cancel := context.WithCancelCause(q.Context())
		defer cancel(nil)
		defer context.AfterFunc(s.requests, func() { cancel(context.Cause(s.requests)) })()
		next.ServeHTTP(&drainWriter{ResponseWriter: w, health: s.health}, q.WithContext(ctx))
	})
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	reason := s.health.NotReadyReason()
	if reason == "" {
		writeJSON(w, http.StatusOK, healthResponse{Ready: true})
		return
	}
	writeJSON(w, http.StatusServiceUnavailable, healthResponse{Reason: reason})
}

func (s *Server) unknownPath(w http.ResponseWriter, _ *http.Request) {
	writeRefusal(w, calls.NewRefusal(http.StatusNotFound, "unknownPath", "no such path; see docs/CALLERS.md"))
}

type healthResponse struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}
