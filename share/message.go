package share

import "github.com/buckthorntide/buckthorntide/peer"

// LendRequest asks another instance to lend tokens of a quota.
type LendRequest struct {
	Quota Quota `json:"quota"`
	Ask
}

// Lend borrows tokens from another instance.
var Lend = peer.Method[LendRequest, Loan]{Name: "QuotaLend"}
