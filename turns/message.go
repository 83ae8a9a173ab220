package turns

import "github.com/buckthorntide/buckthorntide/peer"

type (
	// FindRequest asks an instance for a turn that it holds.
	FindRequest struct {
		ID string `json:"id"`
	}

	// FindReply has the turn, or nil.
	FindReply struct {
		Turn *Turn `json:"turn"`
	}
)

// Find is the call for FindRequest.
var Find = peer.Method[FindRequest, FindReply]{Name: "TurnFind"}
