package conf

//go:generate go run ./gen

const (
	// KindModel is the kind of a service whose upstreams are model engines.
	KindModel ServiceKind = "model"
	// KindPlain is the kind of a service whose upstreams are plain HTTP servers.
	KindPlain ServiceKind = "plain"
)

type (
	// ServiceKind is the type of a service's upstreams.
	ServiceKind string

	// Text is the configuration that operators write and all instances share.
	Text struct {
		// Services lists the services with their upstreams and dependencies.
		Services []Service `json:"services"`
		// Teams lists the teams and their grants.
		Teams []Team `json:"teams"`
		// FailureDomains lists the failure domains that upstreams and instances run
		// in; if empty, those of the upstreams are used.
		FailureDomains []string `json:"failureDomains"`
		// DomainsOut lists the failure domains that are taken out of service.
		DomainsOut []string `json:"domainsOut"`
		// WeightStore limits the orders that load model weights.
		WeightStore WeightStore `json:"weightStore"`
	}

	// Service is a service with its upstreams, routes and dependencies.
	Service struct {
		// Name is the name by which callers and other services refer to the service.
		Name string `json:"name"`
		// Kind is "model" or "plain".
		Kind ServiceKind `json:"kind"`
		// Models lists the models that the upstreams of a model service serve.
		Models []string `json:"models"`
		// DependsOn lists the services that this one requires.
		DependsOn []string `json:"dependsOn"`
		// Upstreams lists the servers of the service.
		Upstreams []Upstream `json:"upstreams"`
		// Routes lists the paths of a plain service.
		Routes []Route `json:"routes"`
		// Credential is sent to upstreams in place of the caller's key.
		Credential string `json:"credential"`
		// TimeoutSeconds is the timeout of a call, in seconds; zero means 120.
		TimeoutSeconds int `json:"timeoutSeconds"`
	}

	// Upstream is a server of a service.
	Upstream struct {
		// Name is the name of the upstream, which is unique in the text.
		Name string `json:"name"`
		// Address is the address of the upstream, as IP:port.
		Address string `json:"address"`
		// FailureDomain is the failure domain that the upstream runs in.
		FailureDomain string `json:"failureDomain"`
		// Slots is the maximum number of concurrent calls of a warm upstream.
		Slots int `json:"slots"`
		// ColdSlots is the maximum number of concurrent calls just after a start.
		ColdSlots int `json:"coldSlots"`
		// CacheTokens is the capacity of the prefix cache, in prompt tokens.
		CacheTokens int `json:"cacheTokens"`
		// ChecksFence is true if the upstream refuses orders with an outdated
		// fencing token.
		ChecksFence bool `json:"checksFence"`
	}

	// Route is a path of a plain service.
	Route struct {
		// Path is a path prefix of whole segments, starting with a slash.
		Path string `json:"path"`
		// Repeatable is true if a call is safe to run more than once.
		Repeatable bool `json:"repeatable"`
		// OpenToAll is true if a call requires no key.
		OpenToAll bool `json:"openToAll"`
	}

	// Team is a team with its grants.
	Team struct {
		// Name is the unique name of the team.
		Name string `json:"name"`
		// RatePerSecond is the rate limit over all instances, in calls a second.
		RatePerSecond float64 `json:"ratePerSecond"`
		// Burst is the maximum burst over all instances, in calls.
		Burst float64 `json:"burst"`
		// Services lists the services that the team may call; empty means all.
		Services []string `json:"services"`
		// Budget limits each program of the team.
		Budget Budget `json:"budget"`
	}

	// Budget limits a program; zero fields take the default.
	Budget struct {
		// Calls is the maximum number of calls, over all sub-agents.
		Calls int64 `json:"calls"`
		// Tokens is the maximum number of prompt and answer tokens, over all
		// sub-agents.
		Tokens int64 `json:"tokens"`
		// Seconds is the maximum time since the opening of the program, in seconds.
		Seconds int64 `json:"seconds"`
	}

	// WeightStore limits the orders that load model weights.
	WeightStore struct {
		// LoadsPerMinute is the maximum number of loads a minute, over all upstreams.
		LoadsPerMinute float64 `json:"loadsPerMinute"`
	}
)
