// Package progs sends requests about programs to their homes and serves the
// programs whose home this instance is. Package prog makes the decisions.
package progs

import (
	"time"

	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/prog"
)

var (
	// Open is the remote method that opens a program.
	Open = peer.Method[prog.OpenRequest, prog.OpenReply]{Name: "OpenProgram"}
	// Begin is the remote method that requests a turn.
	Begin = peer.Method[BeginMessage, prog.BeginReply]{Name: "BeginTurn"}
	// End is the remote method that reports the outcome of a turn.
	End = peer.Method[prog.EndRequest, prog.EndReply]{Name: "EndTurn"}
	// Close is the remote method that ends a program.
	Close = peer.Method[prog.CloseRequest, prog.CloseReply]{Name: "CloseProgram"}
	// Ended is the remote method that queries which programs have ended.
	Ended = peer.Method[EndedRequest, EndedReply]{Name: "EndedPrograms"}
	// ListPending is the remote method that requests the pending turns of a
	// relay instance.
	ListPending = peer.Method[PendingTurnsRequest, PendingTurnsReply]{Name: "CarriedTurns"}
)

type (
	// BeginMessage contains a BeginRequest. The deadline is sent as the time
	// left, since clocks of two instances can't be compared.
	BeginMessage struct {
		Request  prog.BeginRequest `json:"request"`
		TimeLeft time.Duration     `json:"timeLeft"`
	}

	// EndedRequest names the programs to check.
	EndedRequest struct {
		Programs []string `json:"programs"`
	}

	// EndedReply lists the programs that have ended.
	EndedReply struct {
		Programs []string `json:"programs"`
	}

	// PendingTurnsRequest requests the pending turns of some shards.
	PendingTurnsRequest struct {
		Shards fleet.Bitmap `json:"shards"`
		// Requester is the peer address that the ends of these turns are
		// reported to.
		Requester string `json:"asker"`
	}

	// PendingTurnsReply lists pending turns.
	PendingTurnsReply struct {
		Turns []TurnMessage `json:"turns"`
	}

	// TurnMessage is a turn that the replying instance relays, or whose report
	// it still holds.
	TurnMessage struct {
		Begin    BeginMessage `json:"begin"`
		Turn     int          `json:"turn"`
		Previous string       `json:"previous"`
	}
)

func newBeginMessage(r prog.BeginRequest, now time.Time) BeginMessage {
	return BeginMessage{Request: r, TimeLeft: r.Deadline.Sub(now)}
}

func (m *BeginMessage) received(now time.Time) prog.BeginRequest {
	r := m.Request
	r.Deadline = now.Add(m.TimeLeft)
	return r
}
