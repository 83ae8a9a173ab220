package limit

import (
	"time"

	"github.com/buckthorntide/buckthorntide/fleet"
)

const (
	// Refused means that the team has too few tokens.
	Refused Verdict = iota
	// Granted means that the tokens were taken.
	Granted
	// Waiting means that a later Tick decides.
	Waiting
	// Moved means that the shard was handed over while the request waited. The
	// requester must ask the next home, with the same id.
	Moved
)

type (
	// Verdict is the outcome of a TakeRequest.
	Verdict uint8

	// TakeRequest asks for tokens of a team.
	TakeRequest struct {
		// ID is drawn at random by the requester. A request that is sent again
		// with the same id is not charged twice.
		ID uint64
		// Team is the team's name and Shard its shard.
		Team  string
		Shard fleet.Shard
		// Grant is the team's grant in the configuration text in force.
		Grant Grant
		// Tokens is the number of tokens requested, mostly one.
		Tokens float64
		// MaxWait is how long the requester can wait for a grant.
		MaxWait time.Duration
	}

	// TakeReply is the answer to a TakeRequest.
	TakeReply struct {
		ID      uint64
		Verdict Verdict
		// RetryAfter is, with Refused, the time after which a retry may succeed.
		RetryAfter time.Duration
		// Recovering reports, with Refused, that the home had no full authority or
		// only a short while, so that the team may be within its grant.
		Recovering bool
		// Until is, with Waiting, the latest time at which the request is decided.
		Until time.Time
	}

	// TeamLevel is the level of a team's bucket at a planned handover.
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
		// ShareTime is how long an untouched bucket has been refilled, in slot
		// nanoseconds. It applies to all teams that are not listed.
		ShareTime int64       `json:"filled"`
		Teams     []TeamLevel `json:"teams,omitempty"`
	}
)
