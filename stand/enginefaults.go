package stand

import "github.com/buckthorntide/buckthorntide/conf"

type (
	// EngineFaults are the faults that an engine shows.
	EngineFaults struct {
		// Slow delays the first chunk of every answer.
		Slow conf.Duration `json:"slow"`
		// Down drops every connection.
		Down bool `json:"down"`
		// Hang starts no call and answers none.
		Hang bool `json:"hang"`
		// TurnCold makes the engine forget its cache and turn cold, once, with
		// no other sign.
		TurnCold bool `json:"turnCold"`
		// Crash makes the engine crash, once.
		Crash bool `json:"crash"`
		// CutStreamNext drops the connections of that many streams halfway.
		CutStreamNext int `json:"cutStreamNext"`
	}

	// EngineStats are an engine's counts.
	EngineStats struct {
		// Requests counts calls that came in.
		Requests int64 `json:"requests"`
		// Runs counts calls that got a slot.
		Runs int64 `json:"runs"`
		// Completed counts calls that ran to their end.
		Completed int64 `json:"completed"`
		// Cancelled counts calls that were cancelled or left by their client.
		Cancelled int64 `json:"cancelled"`
		// DoubleRuns counts runs beyond the first of a request id.
		DoubleRuns int64 `json:"doubleRuns"`
		// PromptTokens counts the tokens of all prompts that ran.
		PromptTokens int64 `json:"promptTokens"`
		// CacheHitTokens counts prompt tokens found in the cache.
		CacheHitTokens int64 `json:"cacheHitTokens"`
		// PrefillTokens counts prompt tokens that were computed.
		PrefillTokens int64 `json:"prefillTokens"`
		// RecomputedTokens counts computed prompt tokens that this or another
		// engine had held before.
		RecomputedTokens int64 `json:"recomputedTokens"`
		// ColdStarts counts how often the engine turned cold.
		ColdStarts int64 `json:"coldStarts"`
		// MaxInFlightCold is the most calls at once while cold.
		MaxInFlightCold int64 `json:"maxInFlightCold"`
		// ColdOverloads counts calls that came in while the cold engine already
		// had as many as it can bear.
		ColdOverloads int64 `json:"coldOverloads"`
		// Crashes counts crashes, Poisonings those caused by a request.
		Crashes    int64 `json:"crashes"`
		Poisonings int64 `json:"poisonings"`
		// LeakedKeys counts requests that held a caller's key in clear.
		LeakedKeys int64 `json:"leakedKeys"`
		// Loads counts orders to load weights; FencedOrders those refused.
		Loads        int64 `json:"loads"`
		FencedOrders int64 `json:"fencedOrders"`
		// StaleOrders counts orders that were carried out although an order
		// with a higher fence had come before.
		StaleOrders int64 `json:"staleOrders"`
		// Imports counts prefixes that were imported.
		Imports int64 `json:"imports"`
		// Evictions counts prefixes that made room for others.
		Evictions int64 `json:"evictions"`
		// CacheTokens is what the cache holds now.
		CacheTokens int `json:"cacheTokens"`
	}
)
