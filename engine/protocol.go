// Package engine speaks the model engines' protocol and keeps what is known
// of their caches. Client and Stream do the input and output; CacheIndex,
// Sweeper, Orders, LoadLimiter and LoadBudget are pure decisions that take the
// time as a value.
package engine

const (
	// PathCompletions runs a chat completion.
	PathCompletions = "/v1/chat/completions"
	// PathRequests is the prefix of requests that are running or have run.
	PathRequests = "/v1/requests/"
	// PathCache lists, releases, exports and imports cached prefixes.
	PathCache = "/v1/cache"
	// PathCacheEvents lists the changes of the cache.
	PathCacheEvents = "/v1/cache/events"
	// PathLoad reports the load.
	PathLoad = "/v1/load"
	// PathOrders takes orders to load models and to change role, and tells what
	// the engine serves.
	PathOrders = "/v1/orders"

	// HeaderProgram names the program whose prefix the engine caches.
	HeaderProgram = "X-Program"
	// HeaderRequestID names the request for cancel and resume.
	HeaderRequestID = "X-Request-Id"
	// FieldPriority is the body's field for the priority; a lower value runs
	// first.
	FieldPriority = "priority"
)

const (
	// EventStored says that the engine holds a longer prefix of a program.
	EventStored EventKind = "stored"
	// EventEvicted says that the engine holds no prefix of a program.
	EventEvicted EventKind = "evicted"

	// OrderLoadModel asks an engine to load the weights of a model.
	OrderLoadModel OrderKind = "loadModel"
	// OrderLoadAdapter asks an engine to load an adapter.
	OrderLoadAdapter OrderKind = "loadAdapter"
	// OrderSetVersion asks an engine to serve another version of a model.
	OrderSetVersion OrderKind = "setVersion"
	// OrderSetRole asks an engine to change its role.
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

	// CacheList is an engine's whole cache at one point of its event sequence.
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

	// Load is an engine's lagging report of its load.
	Load struct {
		// Epoch changes with each start of the engine.
		Epoch string `json:"epoch"`
		// Running and Queued count requests.
		Running int `json:"running"`
		Queued  int `json:"queued"`
		// CacheTokens is how many tokens the cache holds.
		CacheTokens int `json:"cacheTokens"`
		// Coldish says that the engine has lately started.
		Coldish bool `json:"coldish"`
	}

	// Order asks an engine to load something or to change role.
	Order struct {
		Kind   OrderKind `json:"kind"`
		Target string    `json:"target"`
		// Fence is the fencing number; it rises with each order.
		Fence int64 `json:"fence"`
	}

	// Serving is what an engine serves.
	Serving struct {
		// Fence is the highest fencing number that the engine has seen; zero for
		// an engine that ignores them.
		Fence    int64    `json:"fence"`
		Models   []string `json:"models"`
		Adapters []string `json:"adapters"`
		Role     string   `json:"role"`
	}
)
