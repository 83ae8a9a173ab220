package conf

//go:generate go run ./gen

const (
	// KindModel is the kind of a service whose upstreams are model engines.
	KindModel ServiceKind = "model"
	// KindPlain is the kind of a service whose upstreams speak plain HTTP.
	KindPlain ServiceKind = "plain"
)

type (
	// ServiceKind says what a service's upstreams are.
	ServiceKind string

	// Text is the one text that operators write.
	Text struct {
		// Services are the services and what each depends on.
		Services []Service `json:"services"`
		// Teams are the teams and their grants.
		Teams []Team `json:"teams"`
		// FailureDomains names the failure domains that upstreams and instances
		// stand in; empty means those of the upstreams.
		FailureDomains []string `json:"failureDomains"`
		// DomainsOut names the failure domains that are taken out.
		DomainsOut []string `json:"domainsOut"`
		// WeightStore bounds the orders that load weights.
		WeightStore WeightStore `json:"weightStore"`
	}

	// Service is one service: its upstreams, routes and dependencies.
	Service struct {
		// Name is how callers and other services name it.
		Name string `json:"name"`
		// Kind is "model" or "plain".
		Kind ServiceKind `json:"kind"`
		// Models are the models that the upstreams of a model service serve.
		Models []string `json:"models"`
		// DependsOn names the services that this one cannot work without.
		DependsOn []string `json:"dependsOn"`
		// Upstreams are the servers behind the service.
		Upstreams []Upstream `json:"upstreams"`
		// Routes are the paths of a plain service.
		Routes []Route `json:"routes"`
		// Credential is what upstreams get in place of the caller's key.
		Credential string `json:"credential"`
		// TimeoutSeconds bounds one call, in seconds; zero means 120.
		TimeoutSeconds int `json:"timeoutSeconds"`
	}

	// Upstream is one server behind a service.
	Upstream struct {
		// Name is unique in the text.
		Name string `json:"name"`
		// Address is the upstream's IP:port.
		Address string `json:"address"`
		// FailureDomain is the failure domain that the upstream stands in.
		FailureDomain string `json:"failureDomain"`
		// Slots is how many calls a warm upstream runs at once.
		Slots int `json:"slots"`
		// ColdSlots is how many calls it runs at once just after a start.
		ColdSlots int `json:"coldSlots"`
		// CacheTokens is how many prompt tokens its prefix cache holds.
		CacheTokens int `json:"cacheTokens"`
		// ChecksFence says that it refuses an order with an old fencing number.
		ChecksFence bool `json:"checksFence"`
	}

	// Route is one path of a plain service.
	Route struct {
		// Path is the path's prefix, from the first slash on.
		Path string `json:"path"`
		// Repeatable says that a call may be run more than once.
		Repeatable bool `json:"repeatable"`
		// OpenToAll says that a call needs no key.
		OpenToAll bool `json:"openToAll"`
	}

	// Team is one team and what it has been granted.
	Team struct {
		// Name is the team's name.
		Name string `json:"name"`
		// RatePerSecond is the calls a second over all instances together.
		RatePerSecond float64 `json:"ratePerSecond"`
		// Burst is the calls that may come at once over all instances together.
		Burst float64 `json:"burst"`
		// Services names the services it may call; empty means all.
		Services []string `json:"services"`
		// Budget bounds each of its programs.
		Budget Budget `json:"budget"`
	}

	// Budget bounds a program; a zero field takes the default.
	Budget struct {
		// Calls is the most calls, over all sub-agents.
		Calls int64 `json:"calls"`
		// Tokens is the most tokens, prompt and answer, over all sub-agents.
		Tokens int64 `json:"tokens"`
		// Seconds is the most time from the program's opening, in seconds.
		Seconds int64 `json:"seconds"`
	}

	// WeightStore bounds the orders that load weights.
	WeightStore struct {
		// LoadsPerMinute is the most loads a minute over all upstreams.
		LoadsPerMinute float64 `json:"loadsPerMinute"`
	}
)
