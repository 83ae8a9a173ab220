// Package site holds what is known of the deployment: routes, services and
// teams of the operator's configuration, the upstreams that registered, and
// the failure domains that are taken out. Views are immutable.
package site

import "time"

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Once marks requests that run at most once.
	Once
	// Stream marks event streams, which run at most once unless their route
	// allows resumption.
	Stream
)

const (
	// Ready upstreams take new requests.
	Ready State = iota
	// Draining upstreams are leaving and take no new requests.
	Draining
)

type (
	// Kind says what may be repeated.
	Kind int

	// State is an upstream's own announcement.
	State int

	// Target is one service of a route with its share of the route's requests.
	Target struct {
		Service string
		Weight  int
	}

	// Route sends the requests of a host and path prefix to services.
	Route struct {
		Name   string
		Host   string
		Prefix string
		Kind   Kind
		// Timeout is the longest time that a request is kept waiting.
		Timeout time.Duration
		// Objective is the time within which an answer earns its full credit.
		Objective time.Duration
		// GapTarget is the longest pause between events of a stream in time.
		GapTarget time.Duration
		// Retention is how long finished turns can be continued.
		Retention time.Duration
		// MaxAttempts is how many upstreams one request may be sent to.
		MaxAttempts int
		// Priority is the rank, 0 first.
		Priority int
		Targets  []Target
		// Conversation routes keep turns, which later ones continue.
		Conversation bool
		// Public routes need no key.
		Public bool
		// Affine routes run faster at the upstream that knows the object.
		Affine bool
		// Resumable streams may go on at another upstream.
		Resumable bool
	}

	// Model holds what the upstreams of a model service have in common.
	Model struct {
		Slots int
		// CacheTokens is the memory for running and cached prompts.
		CacheTokens int
		// EventTokens is how many tokens one event of a stream counts for.
		EventTokens int
	}

	// Service is a set of upstreams that answer alike.
	Service struct {
		Name       string
		HealthPath string
		// MaxConns bounds the connections of all callers to one upstream.
		MaxConns int
		// Cold is how long an upstream is cold after its start.
		Cold time.Duration
		// ColdPerSecond is the request rate that a cold upstream bears; 0 is any.
		ColdPerSecond float64
		// Model is nil for plain services.
		Model *Model
	}

	// Team is who holds keys and a quota.
	Team struct {
		Name string
		Keys []string
		// Priority goes before the route's where HasPriority is set.
		Priority    int
		HasPriority bool
		// Rate is the quota in requests per second; 0 is no limit.
		Rate float64
		// Burst is how far the quota may be exceeded for a moment, in requests.
		Burst float64
	}

	// Limits bound what a caller may send.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Config is one version of the operator's configuration.
	Config struct {
		Version  int64
		Routes   []Route
		Services []Service
		Teams    []Team
		Limits   Limits
	}

	// Upstream is one registered server of a service.
	Upstream struct {
		ID      string
		Service string
		// Address is IP:port.
		Address       string
		FailureDomain string
		Slots         int
		State         State
		// ColdUntil is on the clock of common.Uptime.
		ColdUntil time.Duration
		// Born tells two starts under one ID apart.
		Born int64
	}
)
