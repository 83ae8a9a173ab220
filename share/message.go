package share

import (
	"time"

	"github.com/buckthorntide/buckthorntide/peer"
)

type (
	// LendRequest asks an instance for tokens of a quota.
	LendRequest struct {
		Quota Quota   `json:"quota"`
		Want  float64 `json:"want"`
	}

	// LendReply has the tokens that the asker may use now.
	LendReply struct {
		Tokens float64 `json:"tokens"`
		// Tight is how long no program opens there.
		Tight time.Duration `json:"tight"`
	}
)

// Lend is the call for LendRequest.
var Lend = peer.Method[LendRequest, LendReply]{Name: "QuotaLend"}
