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

	// HoldRequest asks an instance to hold a turn until it is in the store.
	HoldRequest struct {
		Turn Turn `json:"turn"`
	}

	// HoldReply says that the turn is held.
	HoldReply struct{}
)

// Methods of the instances.
var (
	Find = peer.Method[FindRequest, FindReply]{Name: "TurnFind"}
	Hold = peer.Method[HoldRequest, HoldReply]{Name: "TurnHold"}
)
