// Package site describes the deployment: the routes, services and teams of the
// operator's configuration, the registered upstreams and the failure domains that
// are excluded from new requests. Views are immutable.
package site

import "time"

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests run at most once.
	AtMostOnce
	// Stream requests are answered by event streams. They run at most once unless
	// their route is resumable.
	Stream
)

const (
	// Ready upstreams take new requests.
	Ready State = iota
	// Draining upstreams are shutting down and take no new requests.
	Draining
)

type (
	// Kind is how often the requests of a route may run.
	Kind int

	// State is the state that an upstream reports.
	State int

	// Target is a service of a route with its weight among the route's targets.
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
		// Timeout limits how long a request waits for its answer.
		Timeout time.Duration
		// LatencyTarget is the latency target; a later answer loses part of its value.
		LatencyTarget time.Duration
		// GapTarget is the target for the longest gap between events of a stream.
		GapTarget time.Duration
		// Retention is how long a finished turn is kept and can be continued.
		Retention time.Duration
		// MaxAttempts limits the upstreams to which one request may be sent.
		MaxAttempts int
		// Priority orders requests; 0 comes first.
		Priority int
		Targets  []Target
		// Conversation routes keep their turns, so that later ones can continue them.
		Conversation bool
		// Public routes require no key.
		Public bool
		// Sticky routes run faster on an upstream that served the object before.
		Sticky bool
		// Resumable streams may continue on another upstream.
		Resumable bool
	}

	// Model holds the settings that all upstreams of a model service share.
	Model struct {
		Slots int
		// CacheTokens is the cache capacity for running and cached prompts, in tokens.
		CacheTokens int
		// EventTokens is the number of tokens that an event of a stream counts as.
		EventTokens int
	}

	// Service is a set of interchangeable upstreams.
	Service struct {
		Name       string
		HealthPath string
		// MaxConns limits the connections of all callers to one upstream.
		MaxConns int
		// ColdDuration is how long an upstream stays cold after its start.
		ColdDuration time.Duration
		// ColdPerSecond is the maximum request rate of a cold upstream; 0 is no limit.
		ColdPerSecond float64
		// Model is nil for plain services.
		Model *Model
	}

	// Team holds the keys and the quota of a group of callers.
	Team struct {
		Name string
		Keys []string
		// Priority overrides the route's if HasPriority is set.
		Priority    int
		HasPriority bool
		// Rate is the quota in requests per second; 0 is no limit.
		Rate float64
		// Burst is how far the rate may be exceeded briefly, in requests.
		Burst float64
	}

	// Limits are the limits on callers' requests and connections.
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
		// SoftwareVersion is the version of the upstream's software. The events of
		// two versions don't fit together.
		SoftwareVersion string
		Slots           int
		State           State
		// ColdUntil is on the clock of common.Uptime.
		ColdUntil time.Duration
		// Incarnation identifies the incarnation of the upstream under its ID.
		Incarnation int64
	}
)

// ResumableStream reports whether the route's answers are streams that may go on at
// another upstream.
func (r *Route) ResumableStream() bool { return r.Kind == Stream && r.Resumable }
