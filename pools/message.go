// Package pools requests upstreams from the services' homes, and serves these
// requests for the services whose home this instance is. Package route makes the
// decisions.
package pools

import (
	"time"

	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/route"
)

var (
	// Submit is the remote method that requests an upstream.
	Submit = peer.Method[SubmitMessage, SubmitReply]{Name: "SubmitCall"}
	// Done is the remote method that reports an attempt's outcome.
	Done = peer.Method[DoneMessage, DoneReply]{Name: "DoneCall"}
	// Cancel is the remote method that withdraws a waiting call.
	Cancel = peer.Method[CancelMessage, CancelReply]{Name: "CancelCall"}
	// Usable is the remote method that asks whether a service has a usable
	// upstream.
	Usable = peer.Method[UsableRequest, UsableReply]{Name: "UsableService"}
	// Relayed is the remote method that lists the running calls of a relay
	// instance.
	Relayed = peer.Method[RelayedRequest, RelayedReply]{Name: "RelayedCalls"}
)

type (
	// SubmitMessage submits a call. The deadline is sent as the remaining time,
	// since the clocks of two instances can't be compared.
	SubmitMessage struct {
		Service  string        `json:"service"`
		Call     route.Call    `json:"call"`
		TimeLeft time.Duration `json:"timeLeft"`
	}

	// SubmitReply is an assignment or a refusal: exactly one field is set.
	SubmitReply struct {
		Assign *route.Assign `json:"assign,omitempty"`
		Refuse *RefuseReply  `json:"refuse,omitempty"`
	}

	// RefuseReply is a route.Refuse with its reason as text.
	RefuseReply struct {
		Reason     string         `json:"reason"`
		RunState   route.RunState `json:"runState"`
		RetryAfter time.Duration  `json:"retryAfter"`
		Attempts   int            `json:"attempts"`
	}

	// DoneMessage reports the outcome of an attempt.
	DoneMessage struct {
		Service string       `json:"service"`
		Report  route.Report `json:"report"`
	}

	// DoneReply acknowledges a DoneMessage.
	DoneReply struct{}

	// CancelMessage withdraws a waiting call.
	CancelMessage struct {
		Service string `json:"service"`
		Call    string `json:"call"`
	}

	// CancelReply acknowledges a CancelMessage.
	CancelReply struct{}

	// UsableRequest asks whether a service has a usable upstream.
	UsableRequest struct {
		Service string `json:"service"`
	}

	// UsableReply answers a UsableRequest.
	UsableReply struct {
		Usable bool `json:"usable"`
	}

	// RelayedRequest requests the running calls of one service.
	RelayedRequest struct {
		Service string `json:"service"`
		// HomeAddress is the peer address of the requesting home, to which the
		// outcomes of these calls are reported.
		HomeAddress string `json:"asker"`
	}

	// RelayedReply lists running calls with the remaining time of each.
	RelayedReply struct {
		State    route.RelayState `json:"state"`
		TimeLeft []time.Duration  `json:"timeLeft"`
	}
)

func (m *SubmitMessage) received(now time.Time) route.Call {
	c := m.Call
	c.Deadline = now.Add(m.TimeLeft)
	return c
}

func (r *RelayedReply) received(now time.Time) route.RelayState {
	s := r.State
	for i := range s.Calls {
		s.Calls[i].Call.Deadline = now.Add(r.TimeLeft[i])
	}
	return s
}
