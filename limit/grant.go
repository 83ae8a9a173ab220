// Package limit enforces each team's rate and burst over all instances together.
//
// The home of a team's shard keeps the team's token bucket. The tokens that the
// home may add depend on its authority over the shard: a Share maps its number
// of lease slots to a part of rate and burst. The shares of all homes never sum
// to more than one, buckets start empty under new authority, and levels are
// capped when authority shrinks. So the tokens that all homes grant in any
// window never exceed the rate times the window plus the burst.
//
// The package does no I/O: the time is passed in and replies are returned.
package limit

const (
	// clockDriftFactor scales the refill rate, so that a home whose clock runs
	// fast by 500 parts per million stays within the rate.
	clockDriftFactor = 1 - 500e-6
	// levelTolerance is the rounding error allowed in a level, in tokens.
	levelTolerance = 1e-9
)

// Grant is the rate and burst of a team over all instances together.
type Grant struct {
	// RatePerSecond is the number of tokens added per second.
	RatePerSecond float64 `json:"ratePerSecond"`
	// Burst is the maximum number of tokens in the bucket.
	Burst float64 `json:"burst"`
}

// refill returns the tokens that are added over a share time, in slot
// nanoseconds.
func (g Grant) refill(shareTime int64) float64 {
	return g.RatePerSecond * clockDriftFactor * float64(shareTime) / slotNanosPerSecond
}

// cap returns the maximum level of a bucket under a share.
func (g Grant) cap(share int) float64 {
	return g.Burst * float64(share) / fullShare
}
