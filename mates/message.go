package mates

import (
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/watch"
)

type (
	// NewsRequest asks an instance for what it knows of the deployment.
	NewsRequest struct {
		Known watch.Positions `json:"known"`
	}

	// NewsReply has the rows beyond those positions.
	NewsReply struct {
		News watch.News `json:"news"`
	}
)

// News is the call for NewsRequest.
var News = peer.Method[NewsRequest, NewsReply]{Name: "News"}
