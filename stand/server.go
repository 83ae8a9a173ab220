// Package stand holds small stand-ins for the platform, for model engines and
// for plain services. Tests and the bench run them in place of the real ones;
// each counts what it sees and takes faults on request.
package stand

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/group"
)

const (
	pathStats  = "/stats"
	pathFaults = "/faults"

	readHeaderTimeout = 10 * time.Second
	maxBodyBytes      = 64 << 20

	// ErrListen says that a stand-in could not take its address.
	ErrListen = errors.ConstError("cannot listen")
)

// server listens on one address and serves one handler until it is closed.
type server struct {
	address string
	handler http.Handler
	http    *http.Server
	cancel  context.CancelFunc
	group   *group.Group
	active  *activeCount
}

func newServer(address string, handler http.Handler) *server {
	return &server{address: address, handler: handler}
}

// start listens and serves. A port of zero is replaced by the one taken.
func (s *server) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Annotatef(ErrListen, "%s: %v", s.address, err)
	}
	s.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.group = group.NewGroup(ctx)
	s.active = newActiveCount()
	web := &http.Server{
		Handler:           s.active.wrap(s.handler),
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	s.http = web
	s.group.Go(func(context.Context) { _ = web.Serve(listener) })
	return nil
}

// close drops every connection and waits for all handlers and goroutines.
func (s *server) close() {
	if s.http == nil {
		return
	}
	_ = s.http.Close()
	s.cancel()
	s.active.close()
	s.group.Close()
	s.http = nil
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// abort drops the connection without an answer.
func abort() { panic(http.ErrAbortHandler) }
