package turns

import "github.com/buckthorntide/buckthorntide/peer"

type (
	// FindRequest asks an instance for a turn in its cache.
	FindRequest struct {
		ID string `json:"id"`
	}

	// FindReply returns the turn, or nil if it is not in the cache.
	FindReply struct {
		Turn *Turn `json:"turn"`
	}
)

// Find looks up a turn in another instance's cache.
var Find = peer.Method[FindRequest, FindReply]{Name: "TurnFind"}
