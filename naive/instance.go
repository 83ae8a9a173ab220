// Package naive is the simple way to do the product's work, which the bench
// compares it with: upstreams in turn, first come first served, a share of
// every grant for each instance, no affinity, and a store write for each turn.
package naive

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/store"
)

const (
	storeTimeout   = 2 * time.Second
	headerTimeout  = 10 * time.Second
	connectTimeout = time.Second
	idleConns      = 256
	maxBodyBytes   = 32 << 20
	bearerPrefix   = "Bearer "
)

type (
	// Config sets an Instance up.
	Config struct {
		// PlatformAddress is the platform's address, as IP:port.
		PlatformAddress string
		// Text names the upstreams and the teams' grants.
		Text conf.Text
		// Instances is by how many every grant is divided.
		Instances int
		// Keys are the callers' keys and their teams.
		Keys map[string]string
		// Share is where the instances learn which failure domains are out.
		Share *Share
	}

	// Share is what all instances of a fleet know at once.
	Share struct {
		mu  sync.Mutex
		out map[string]bool
	}

	// Instance is one naive instance.
	Instance struct {
		config   Config
		table    *store.Client
		client   *http.Client
		listener net.Listener
		server   *http.Server
		group    *group.Group
		next     atomic.Int64
		draining atomic.Bool

		mu      sync.Mutex
		buckets map[string]*bucket
	}
)

// NewShare returns a Share with no failure domain out.
func NewShare() *Share { return &Share{out: make(map[string]bool)} }

// SetDomain takes a failure domain out or brings it back.
func (s *Share) SetDomain(domain string, out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out[domain] = out
}

func (s *Share) isOut(domain string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out[domain]
}

// NewInstance returns an instance that listens on the address.
func NewInstance(config Config, listenAddress string) (*Instance, error) {
	listener, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return nil, errors.Annotate(err, "listen for callers")
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConns,
	}
	i := &Instance{
		config:   config,
		table:    store.NewClient(config.PlatformAddress, storeTimeout),
		client:   &http.Client{Transport: transport},
		listener: listener,
		group:    group.NewGroup(context.Background()),
		buckets:  make(map[string]*bucket),
	}
	for _, team := range config.Text.Teams {
		i.buckets[team.Name] = newBucket(team, config.Instances, time.Now())
	}
	i.server = &http.Server{Handler: i.routes(), ReadHeaderTimeout: headerTimeout}
	return i, nil
}

// Start begins to answer.
func (i *Instance) Start() {
	i.group.Go(func(context.Context) { _ = i.server.Serve(i.listener) })
}

// Address returns the address that callers reach the instance at.
func (i *Instance) Address() string { return i.listener.Addr().String() }

// Stop lets the calls under way finish and stops.
func (i *Instance) Stop(ctx context.Context) error {
	i.draining.Store(true)
	err := i.server.Shutdown(ctx)
	i.Close()
	return err
}

// Close cuts every connection.
func (i *Instance) Close() {
	_ = i.server.Close()
	i.group.Close()
	i.client.CloseIdleConnections()
	i.table.Close()
}

func (i *Instance) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", i.health)
	mux.HandleFunc("POST /v1/programs", i.asTeam(i.open))
	mux.HandleFunc("DELETE /v1/programs/{program}", i.asTeam(i.end))
	mux.HandleFunc("POST /v1/chat/completions", i.asTeam(i.limited(i.chat)))
	mux.HandleFunc("POST /v1/services/{service}/{path...}", i.asTeam(i.limited(i.plain)))
	return mux
}

type teamHandler func(w http.ResponseWriter, r *http.Request, team string)

func (i *Instance) health(w http.ResponseWriter, _ *http.Request) {
	if i.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (i *Instance) asTeam(next teamHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		team, ok := i.config.Keys[strings.TrimPrefix(r.Header.Get("Authorization"), bearerPrefix)]
		if !ok {
			refuse(w, http.StatusUnauthorized, "unauthorised", stateNotRun)
			return
		}
		next(w, r, team)
	}
}

func (i *Instance) limited(next teamHandler) teamHandler {
	return func(w http.ResponseWriter, r *http.Request, team string) {
		i.mu.Lock()
		granted := i.buckets[team].take(time.Now())
		i.mu.Unlock()
		if !granted {
			refuse(w, http.StatusTooManyRequests, "limited", stateNotRun)
			return
		}
		next(w, r, team)
	}
}
