package limit

import (
	"time"

	"github.com/buckthorntide/buckthorntide/fleet"
)

const (
	// Refused says that the team has no tokens left.
	Refused Verdict = iota
	// Granted says that the tokens were taken.
	Granted
	// Waiting says that a later Tick decides.
	Waiting
	// Moved says that the shard was handed over while the request waited. Ask
	// its next home, with the same id.
	Moved
)

type (
	// Verdict is the outcome of a TakeRequest.
	Verdict uint8

	// TakeRequest asks for tokens of a team.
	TakeRequest struct {
		// ID is drawn at random by the asker. A request that is sent again with
		// the same id is not charged twice.
		ID uint64
		// Team is the team's name and Shard its shard.
		Team  string
		Shard fleet.Shard
		// Grant is the team's grant in the text that is in force.
		Grant Grant
		// Tokens is how many tokens are asked for, mostly one.
		Tokens float64
		// MaxWait is how long the asker can wait for a grant.
		MaxWait time.Duration
	}

	// TakeReply is the answer to a TakeRequest.
	TakeReply struct {
		ID      uint64
		Verdict Verdict
		// RetryAfter says, with Refused, when it is worth to ask again.
		RetryAfter time.Duration
		// Recovering says, with Refused, that the home had no full authority or
		// had it for a short time only, so that the team may be within its grant.
		Recovering bool
		// Until says, with Waiting, when the request is decided at the latest.
		Until time.Time
	}

	// TeamLevel is what a team has left at a planned handover.
	TeamLevel struct {
		Team  string  `json:"team"`
		Grant Grant   `json:"grant"`
		Level float64 `json:"level"`
	}

	// Levels are the levels of a shard's teams at a planned handover.
	Levels struct {
		// Handover is the id of the fleet's planned handover.
		Handover uint64      `json:"handover"`
		Shard    fleet.Shard `json:"shard"`
		// Filled are the seat nanoseconds that a bucket which was never taken
		// from has filled for. Teams that are not listed have such buckets.
		ShareTime int64       `json:"filled"`
		Teams     []TeamLevel `json:"teams,omitempty"`
	}
)
