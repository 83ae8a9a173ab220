package budget

import "github.com/buckthorntide/buckthorntide/peer"

type (
	// ReleaseRequest asks an instance to give up the tokens of a program that it
	// doesn't need for turns under way.
	ReleaseRequest struct {
		Program string `json:"program"`
	}

	// ReleaseReply tells what the instance gave up.
	ReleaseReply struct {
		// Holder is the name that the tokens stand under in the program's row.
		Holder string `json:"holder"`
		// Freed tokens are no longer the holder's to hand out.
		Freed int `json:"freed"`
	}
)

// Release is the call for ReleaseRequest.
var Release = peer.Method[ReleaseRequest, ReleaseReply]{Name: "BudgetRelease"}
