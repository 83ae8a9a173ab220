package share

import (
	"time"

	"github.com/buckthorntide/buckthorntide/peer"
)

type (
	// LendRequest asks another instance to lend tokens of a quota.
	LendRequest struct {
		Quota Quota   `json:"quota"`
		Want  float64 `json:"want"`
	}

	// LendReply returns the tokens that the borrower may use.
	LendReply struct {
		Tokens float64 `json:"tokens"`
		// Throttled is how long no program may open at the lender.
		Throttled time.Duration `json:"tight"`
	}
)

// Lend borrows tokens from another instance.
var Lend = peer.Method[LendRequest, LendReply]{Name: "QuotaLend"}
