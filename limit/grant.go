// Package limit holds each team to its rate and burst over all instances
// together.
//
// The home of a team's shard keeps the team's bucket. What the home may mint
// follows from its authority over the shard: Share says which part of rate and
// burst a number of seats is worth. Shares of all homes never sum to more than
// one, buckets of fresh authority start empty, and levels are cut when the
// authority falls; so the sum over all homes never exceeds rate and burst.
//
// Everything here is pure: the time comes in as a value and replies go out.
package limit

// Grant is what a team may take over all instances together.
type Grant struct {
	// RatePerSecond is the tokens that come in each second.
	RatePerSecond float64 `json:"ratePerSecond"`
	// Burst is the most tokens that may gather.
	Burst float64 `json:"burst"`
}
