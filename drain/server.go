// Package drain stops HTTP servers as planned: what a server has accepted is
// answered, and what it can't answer any more is not accepted.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/group"
)

const (
	// requestsInterval is the time between two checks for requests in progress.
	requestsInterval = 20 * time.Millisecond
	// firstRequestTime is how long connections without a request may still send
	// their first one, and firstFraction bounds it to a part of a short time.
	firstRequestTime = 500 * time.Millisecond
	firstFraction    = 5
)

// Server is an HTTP server that knows the state of its connections.
type Server struct {
	// Handler handles the requests; it may be changed until Serve.
	Handler http.Handler

	conns     *conns
	server    *http.Server
	listener  net.Listener
	accepting atomic.Bool
}

// NewServer returns a server for the listener's connections with the settings of the
// given one, whose hooks for connections it sets.
func NewServer(listener net.Listener, server *http.Server) *Server {
	s := &Server{Handler: server.Handler, conns: newConns(), server: server, listener: &onceListener{Listener: listener}}
	s.accepting.Store(true)
	server.ConnContext = s.conns.connContext
	server.ConnState = s.conns.setState
	return s
}

// LimitConns bounds the open connections. At the limit a new connection replaces one without
// a whole request; displaced is then called with the number of connections closed so far. It
// must be called before Serve.
func (s *Server) LimitConns(limit int, displaced func(total int)) {
	s.conns.limit, s.conns.noteDisplaced = limit, displaced
}

// Serve accepts connections until the server is stopped, and then returns nil.
func (s *Server) Serve() error {
	s.server.Handler = s.conns.handler(s.Handler)
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || !s.accepting.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Trace(err)
}

// FirstRequestTime returns how long connections without a request may send their first
// one once no more are accepted, by the time that the server has to stop.
func FirstRequestTime(stop time.Duration) time.Duration {
	return min(firstRequestTime, stop/firstFraction)
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Counts counts the connections.
func (s *Server) Counts() Counts { return s.conns.counts() }

// StopAccepting accepts no more connections. Later calls change nothing.
func (s *Server) StopAccepting() error {
	s.accepting.Store(false)
	return errors.Trace(s.listener.Close())
}

// Finish closes idle connections, so that requests in progress are not joined by
// later ones that the end of the context may cut. It waits until all are answered, or
// until the context ends. Connections without a request are closed at the time for
// first requests. The server is shut down last: it would drop requests that have just
// been read on new connections. StopAccepting must be called before.
func (s *Server) Finish(ctx context.Context, first time.Time) error {
	s.conns.closeAll(ctx, http.StateIdle)
	firstCtx, cancel := context.WithDeadline(ctx, first)
	defer cancel()
	s.waitRequests(firstCtx)
	s.conns.closeAll(ctx, http.StateNew)
	s.waitRequests(ctx)
	return errors.Trace(s.server.Shutdown(ctx))
}

// Shutdown accepts no more connections, and requests on those that there are only as
// Finish does. It waits until the requests in progress are answered, or until the
// context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	first := firstRequestTime
	if deadline, ok := ctx.Deadline(); ok {
		first = FirstRequestTime(time.Until(deadline))
	}
	err := s.StopAccepting()
	if finishErr := s.Finish(ctx, time.Now().Add(first)); finishErr != nil {
		return finishErr
	}
	return err
}

// waitRequests waits until no request is in progress and no connection without a
// request is left, or until the context ends.
func (s *Server) waitRequests(ctx context.Context) {
	for {
		n := s.conns.counts()
		if n.Active == 0 && n.Fresh == 0 || !group.Sleep(ctx, requestsInterval) {
			return
		}
	}
}

// EndTransfers ends the reads of requests and bounds the writes of answers: a caller may
// send or read nothing more.
func (s *Server) EndTransfers(writeBy time.Time) error { return s.conns.endTransfers(writeBy) }

// Close closes the listener and every connection.
func (s *Server) Close() {
	s.accepting.Store(false)
	_ = s.server.Close()
	// The server doesn't know its listener before Serve.
	_ = s.listener.Close()
}
