package turns

import "github.com/buckthorntide/buckthorntide/peer"

type (
	// FindRequest asks an instance for turns that it holds.
	FindRequest struct {
		IDs []string `json:"ids"`
	}

	// FindReply has the turns that were found, in any order.
	FindReply struct {
		Turns []Turn `json:"turns"`
	}
)

// Find is the call for FindRequest.
var Find = peer.Method[FindRequest, FindReply]{Name: "TurnFind"}
