package budget

import "github.com/buckthorntide/buckthorntide/peer"

type (
	// ReleaseRequest asks an instance to return the tokens of a program that its
	// turns in flight don't need.
	ReleaseRequest struct {
		Program string `json:"program"`
	}

	// ReleaseReply reports the tokens that the instance returned.
	ReleaseReply struct {
		// Holder is the name under which the program's row records the tokens.
		Holder string `json:"holder"`
		// Freed is the number of tokens that the holder no longer has.
		Freed int `json:"freed"`
	}

	// AdvanceRequest asks a program's home for a provisional allocation while the
	// store is down.
	AdvanceRequest struct {
		Holder  string `json:"holder"`
		Program string `json:"program"`
		Total   int    `json:"total"`
		Most    int    `json:"most"`
	}

	// AdvanceReply returns the tokens that the holder may hand out.
	AdvanceReply struct {
		Tokens int `json:"tokens"`
	}

	// EndAdvancesRequest asks a program's home to grant no further provisional
	// allocations.
	EndAdvancesRequest struct {
		Program string `json:"program"`
	}

	// Ended has all provisional allocations of a program that gets no further ones.
	Ended struct {
		// Home is the process that ended them.
		Home string `json:"home"`
		// Sure is set if no earlier process of the instance can have granted any.
		Sure bool `json:"sure"`
		// Holders are the sums by holder.
		Holders map[string]int `json:"holders"`
	}
)

// RPC methods that instances serve.
var (
	Release     = peer.Method[ReleaseRequest, ReleaseReply]{Name: "BudgetRelease"}
	EndAdvances = peer.Method[EndAdvancesRequest, Ended]{Name: "BudgetEndAdvances"}
	Advance     = peer.Method[AdvanceRequest, AdvanceReply]{Name: "BudgetAdvance"}
)
