package peers

import (
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/watch"
)

type (
	// UpdatesRequest contains the positions up to which the requester has the
	// rows of the followed tables.
	UpdatesRequest struct {
		Known watch.Positions `json:"known"`
	}

	// UpdatesReply contains the rows beyond those positions.
	UpdatesReply struct {
		Updates watch.Updates `json:"news"`
	}
)

// FetchUpdates is the remote method that requests rows beyond the positions.
var FetchUpdates = peer.Method[UpdatesRequest, UpdatesReply]{Name: "News"}
