// Package limit holds each team to its rate and burst over all instances
// together.
//
// The home of a team's shard keeps the team's bucket. What the home may mint
// follows from its authority over the shard: a Share says which part of rate
// and burst a number of seats is worth. The shares of all homes never sum to
// more than one, buckets of fresh authority start empty, and levels are cut
// when the authority falls; so what all homes grant in any window never exceeds
// the rate times the window plus the burst.
//
// Everything here is pure: the time comes in as a value and replies go out.
package limit

const (
	// driftSafety is the part of the rate that is minted, so that a home whose
	// clock runs fast by 500 parts in a million stays below the rate.
	clockDriftFactor = 1 - 500e-6
	// levelSlack is what rounding may take from a level, in tokens.
	levelTolerance = 1e-9
)

// Grant is what a team may take over all instances together.
type Grant struct {
	// RatePerSecond is the tokens that come in each second.
	RatePerSecond float64 `json:"ratePerSecond"`
	// Burst is the most tokens that may gather.
	Burst float64 `json:"burst"`
}

// minted returns the tokens that come in over seat nanoseconds.
func (g Grant) refill(seatNanos int64) float64 {
	return g.RatePerSecond * clockDriftFactor * float64(seatNanos) / slotNanosPerSecond
}

// cap returns the most tokens that a bucket holds with a share.
func (g Grant) cap(share int) float64 {
	return g.Burst * float64(share) / fullShare
}
