// Package admin is where operators reach an instance over HTTP. Its handlers
// check the admin key, read the request and hand over to the Operator.
package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/admapi"
	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/drain"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/keys"
)

const (
	headerTimeout = 10 * time.Second
	// requestTimeout bounds one request of an operator.
	requestTimeout = 30 * time.Second
	// stopTimeout bounds the wait for requests in progress when the server stops.
	stopTimeout  = 3 * time.Second
	bearerPrefix = "Bearer "
)

type (
	// Keys checks admin keys.
	Keys interface {
		Check(key string) (keys.Identity, error)
		Fresh(now time.Time) bool
	}

	// Server answers operators.
	Server struct {
		common   *common.Common
		keys     Keys
		operator *Operator
		server   *drain.Server
		stopping atomic.Bool
		group    *group.Group
	}

	// action is what one request does; its result is answered as JSON.
	action func(ctx context.Context, q *http.Request) (any, error)
)

// NewServer listens on the address (IP:port) and answers once Start is called.
func NewServer(c *common.Common, address string, checker Keys, operator *Operator) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "listen for operators")
	}
	s := &Server{
		common:   c.Part("admin"),
		keys:     checker,
		operator: operator,
		group:    group.NewGroup(context.Background()),
	}
	s.server = drain.NewServer(listener, &http.Server{Handler: s.routes(), ReadHeaderTimeout: headerTimeout})
	return s, nil
}

// Address returns the address that operators reach the server at.
func (s *Server) Address() string { return s.server.Address() }

// Start begins to answer.
func (s *Server) Start() {
	s.group.Go(func(context.Context) {
		if err := s.server.Serve(); err != nil {
			s.common.Log.Error("Serving operators ended.", "error", err)
		}
	})
}

// Shutdown accepts no new connections and waits until the requests in progress are
// answered, for a limited time or until the context ends: they may have taken effect.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return s.server.Shutdown(ctx)
}

// Close shuts the server down, closes every connection that is left, and waits.
func (s *Server) Close() {
	if err := s.Shutdown(context.Background()); err != nil {
		s.common.Log.Warn("requests in progress are cut", "error", err)
	}
	s.server.Close()
	s.group.Close()
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+admapi.PathText, s.guard(s.getText))
	mux.HandleFunc("PUT "+admapi.PathText, s.guard(s.putText))
	mux.HandleFunc("GET "+admapi.PathKeys, s.guard(s.listKeys))
	mux.HandleFunc("POST "+admapi.PathKeys, s.guard(s.issueKey))
	mux.HandleFunc("DELETE "+admapi.PathKeys+"/{id}", s.guard(s.withdrawKey))
	mux.HandleFunc("POST "+admapi.PathDomains+"/{name}", s.guard(s.setDomain))
	mux.HandleFunc("POST "+admapi.PathDrain, s.guard(s.drain))
	mux.HandleFunc("GET "+admapi.PathStatus, s.guard(s.status))
	mux.HandleFunc("GET "+admapi.PathDump, s.guard(s.dump))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		s.answer(w, nil, admapi.Problem{Code: admapi.CodeNotFound, Message: "no such path"})
	})
	return mux
}

// guard lets only admin keys through. An instance that can't tell whether a key
// was withdrawn takes no orders, but may still be looked at.
func (s *Server) guard(next action) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if problem := s.check(q); problem != nil {
			s.answer(w, nil, *problem)
			return
		}
		q.Body = http.MaxBytesReader(w, q.Body, admapi.MaxBodyBytes)
		ctx, cancel := context.WithTimeout(q.Context(), requestTimeout)
		defer cancel()
		result, err := next(ctx, q)
		s.answer(w, result, err)
	}
}

func (s *Server) check(q *http.Request) *admapi.Problem {
	key, _ := strings.CutPrefix(q.Header.Get("Authorization"), bearerPrefix)
	if _, err := s.keys.Check(key); err != nil {
		return &admapi.Problem{
			Code:    admapi.CodeUnauthorised,
			Message: "the admin key is missing, unknown or withdrawn",
			Next:    "give an admin key with -key or BUCKTHORNTIDE_ADMIN_KEY",
		}
	}
	if q.Method != http.MethodGet && !s.keys.Fresh(s.common.Clock.Now()) {
		return &admapi.Problem{
			Code:    admapi.CodeUnavailable,
			Message: "the instance hears neither the platform nor its peers, so that it can't tell whether the key was withdrawn",
			Next:    "ask another instance",
		}
	}
	return nil
}

func (s *Server) answer(w http.ResponseWriter, result any, err error) {
	status := http.StatusOK
	if err != nil {
		problem := problemOf(err)
		status = problem.Code.Status()
		result = admapi.ErrorResponse{Error: problem}
	}
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An operator that has left can't be told of a failed write.
	_ = json.NewEncoder(w).Encode(result)
}

func decode[T any](q *http.Request) (T, error) {
	var body T
	decoder := json.NewDecoder(q.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return body, admapi.Problem{Code: admapi.CodeBadInput, Message: err.Error(), Next: "correct the request's body"}
	}
	return body, nil
}
