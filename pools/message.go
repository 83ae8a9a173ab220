// Package pools asks the services' homes for upstreams and answers for the
// services whose home this instance is. Package route decides.
package pools

import (
	"time"

	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/route"
)

var (
	// Submit is the remote method that asks for an upstream.
	Submit = peer.Method[SubmitMessage, SubmitReply]{Name: "SubmitCall"}
	// Done is the remote method that reports an attempt's end.
	Done = peer.Method[DoneMessage, DoneReply]{Name: "DoneCall"}
	// Cancel is the remote method that takes a waiting call back.
	Cancel = peer.Method[CancelMessage, CancelReply]{Name: "CancelCall"}
	// Usable is the remote method that asks whether a service has a usable
	// upstream.
	Usable = peer.Method[UsableRequest, UsableReply]{Name: "UsableService"}
	// Relayed is the remote method that asks a relaying instance what it has
	// running.
	Relayed = peer.Method[RelayedRequest, RelayedReply]{Name: "RelayedCalls"}
)

type (
	// SubmitMessage carries a call. Its deadline goes over the wire as the time
	// that is left, since clocks of two instances can't be compared.
	SubmitMessage struct {
		Service  string        `json:"service"`
		Call     route.Call    `json:"call"`
		TimeLeft time.Duration `json:"timeLeft"`
	}

	// SubmitReply has exactly one field set.
	SubmitReply struct {
		Assign *route.Assign `json:"assign,omitempty"`
		Refuse *RefuseReply  `json:"refuse,omitempty"`
	}

	// RefuseReply carries a route.Refuse; its reason goes as text.
	RefuseReply struct {
		Reason     string         `json:"reason"`
		RunState   route.RunState `json:"runState"`
		RetryAfter time.Duration  `json:"retryAfter"`
		Attempts   int            `json:"attempts"`
	}

	// DoneMessage carries a report.
	DoneMessage struct {
		Service string       `json:"service"`
		Report  route.Report `json:"report"`
	}

	// DoneReply acknowledges a DoneMessage.
	DoneReply struct{}

	// CancelMessage takes a call back.
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

	// RelayedRequest asks for the running calls of one service.
	RelayedRequest struct {
		Service string `json:"service"`
		// Asker is the peer address that the ends of these calls are told to.
		Asker string `json:"asker"`
	}

	// RelayedReply lists running calls with the time that each has left.
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
