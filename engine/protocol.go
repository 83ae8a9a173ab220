// Package engine implements the client side of the model engines' protocol and
// tracks the engines' prefix caches. Only Client and Stream do I/O; CacheIndex,
// Sweeper, Orders, LoadLimiter and LoadBudget do none and get the time as an
// argument.
package engine

const (
	// PathCompletions runs a chat completion.
	PathCompletions = "/v1/chat/completions"
	// PathRequests is the path prefix of running and finished requests.
	PathRequests = "/v1/requests/"
	// PathCache lists, releases, exports and imports cached prefixes.
	PathCache = "/v1/cache"
	// PathCacheEvents lists the changes of the cache.
	PathCacheEvents = "/v1/cache/events"
	// PathLoad reports the load.
	PathLoad = "/v1/load"
	// PathOrders accepts orders to load models and to change role, and reports
	// what the engine serves.
	PathOrders = "/v1/orders"

	// HeaderProgram identifies the program whose prefix the engine caches.
	HeaderProgram = "X-Program"
	// HeaderRequestID identifies the request for cancel and resume.
	HeaderRequestID = "X-Request-Id"
	// FieldPriority is the body's field for the priority; a lower value runs
	// first.
	FieldPriority = "priority"
)

const (
	// EventStored means that the engine holds a longer prefix of a program.
	EventStored EventKind = "stored"
	// EventEvicted means that the engine no longer holds a program's prefix.
	EventEvicted EventKind = "evicted"

	// OrderLoadModel requests an engine to load the weights of a model.
	OrderLoadModel OrderKind = "loadModel"
	// OrderLoadAdapter requests an engine to load an adapter.
	OrderLoadAdapter OrderKind = "loadAdapter"
	// OrderSetVersion requests an engine to serve another version of a model.
	OrderSetVersion OrderKind = "setVersion"
	// OrderSetRole requests an engine to change its role.
	OrderSetRole OrderKind = "setRole"
)

type (
	// EventKind is the kind of a cache event.
	EventKind string

	// OrderKind is the kind of an order.
	OrderKind string

	// CacheEntry is one program's prefix in an engine's cache.
	CacheEntry struct {
		Program string `json:"program"`
		Tokens  int    `json:"tokens"`
	}

	// CacheList is the complete list of an engine's prefixes at one point of its
	// event sequence.
	CacheList struct {
		// Sequence is the last event that the list reflects.
		Sequence int64        `json:"sequence"`
		Entries  []CacheEntry `json:"entries"`
	}

	// CacheEvent is one change of an engine's cache.
	CacheEvent struct {
		Sequence int64     `json:"sequence"`
		Kind     EventKind `json:"kind"`
		Program  string    `json:"program"`
		Tokens   int       `json:"tokens"`
	}

	// CacheEvents is a page of events, in order of sequence.
	CacheEvents struct {
		Events []CacheEvent `json:"events"`
	}

	// Load is an engine's load report; it lags behind the actual load.
	Load struct {
		// Epoch changes with each start of the engine.
		Epoch string `json:"epoch"`
		// Running and Queued count requests.
		Running int `json:"running"`
		Queued  int `json:"queued"`
		// CacheTokens is how many tokens the cache holds.
		CacheTokens int `json:"cacheTokens"`
		// Coldish is set if the engine has started recently.
		Coldish bool `json:"coldish"`
	}

	// Order requests an engine to load weights or to change role.
	Order struct {
		Kind   OrderKind `json:"kind"`
		Target string    `json:"target"`
		// Fence is the fencing number; it increases with each order.
		Fence int64 `json:"fence"`
	}

	// Serving is an engine's report of its models, adapters and role.
	Serving struct {
		// Fence is the highest fencing number that the engine has seen; zero for
		// an engine that ignores them.
		Fence    int64    `json:"fence"`
		Models   []string `json:"models"`
		Adapters []string `json:"adapters"`
		Role     string   `json:"role"`
	}
)
