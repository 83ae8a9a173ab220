// Package entry is where callers reach an instance over HTTP. Its handlers
// read the request, find out who the caller is and hand over to package calls.
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
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/keys"
)

const (
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 10 * time.Second
	// maxBodyBytes bounds a request's body.
	maxBodyBytes = 32 << 20
)

type (
	// Keys finds out whose a key is.
	Keys interface {
		// Check returns whom the key stands for, or an error.
		Check(key string) (keys.Identity, error)
	}

	// Watch ends calls whose key is withdrawn.
	Watch interface {
		// Register has cancel called when the key is withdrawn; the returned
		// function ends the watch.
		Register(key keys.Hash, cancel func()) (release func(), err error)
	}

	// Texts gives the operators' text that is in force.
	Texts interface {
		Text() *conf.Text
	}

	// Health tells whether the balancer may send calls.
	Health interface {
		// NotReady returns why not, or an empty text.
		NotReady() string
		// Draining tells that a planned stop is under way.
		Draining() bool
		// Shut tells that no call may be taken at all, and why.
		Shut() string
	}

	// Server answers callers.
	Server struct {
		common   *common.Common
		keys     Keys
		watch    Watch
		texts    Texts
		health   Health
		opener   *calls.Opener
		model    *calls.Model
		plain    *calls.Plain
		listener net.Listener
		server   *http.Server
		running  atomic.Int64
		group    *group.Group
	}
)

// NewServer listens on the address (IP:port) and answers once Start is called.
func NewServer(
	c *common.Common,
	address string,
	checker Keys,
	watch Watch,
	texts Texts,
	health Health,
	opener *calls.Opener,
	model *calls.Model,
	plain *calls.Plain,
) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "listen for callers")
	}
	s := &Server{
		common:   c.Part("entry"),
		keys:     checker,
		watch:    watch,
		texts:    texts,
		health:   health,
		opener:   opener,
		model:    model,
		plain:    plain,
		listener: listener,
		group:    group.NewGroup(context.Background()),
	}
	s.server = &http.Server{Handler: s.routes(), ReadHeaderTimeout: headerTimeout}
	return s, nil
}

// Address returns the address that callers reach the server at.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Running returns the number of calls under way.
func (s *Server) Running() int { return int(s.running.Load()) }

// Start begins to answer.
func (s *Server) Start() {
	s.group.Go(func(context.Context) {
		err := s.server.Serve(s.listener)
		if !errors.Is(err, http.ErrServerClosed) {
			s.common.Log.Error("Serving callers ended.", "error", err)
		}
	})
}

// Shutdown takes no new connection and waits for the calls under way, within
// the context.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Trace(s.server.Shutdown(ctx))
}

// Close cuts every connection and waits for the handlers.
func (s *Server) Close() {
	_ = s.server.Close()
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
	return s.counted(mux)
}

func (s *Server) counted(next http.Handler) http.Handler {
	requests := metrics.GetOrRegisterTimer("entry.requests", s.common.Metrics)
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		s.running.Add(1)
		defer s.running.Add(-1)
		began := s.common.Clock.Now()
		defer func() { requests.Update(s.common.Clock.Now().Sub(began)) }()
		if s.health.Draining() {
			// The caller's next call then goes to another instance.
			w.Header().Set("Connection", "close")
		}
		q.Body = http.MaxBytesReader(w, q.Body, maxBodyBytes)
		next.ServeHTTP(w, q)
	})
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	reason := s.health.NotReady()
	if reason == "" {
		writeJSON(w, http.StatusOK, healthBody{Ready: true})
		return
	}
	writeJSON(w, http.StatusServiceUnavailable, healthBody{Reason: reason})
}

func (s *Server) unknownPath(w http.ResponseWriter, _ *http.Request) {
	writeRefusal(w, calls.NewRefusal(http.StatusNotFound, "unknownPath", "no such path; see docs/CALLERS.md"))
}

type healthBody struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}
