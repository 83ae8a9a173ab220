// Package progs asks the programs' homes and answers for the programs whose
// home this instance is. Package prog decides.
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
	// Begin is the remote method that asks for a turn.
	Begin = peer.Method[BeginMessage, prog.BeginReply]{Name: "BeginTurn"}
	// End is the remote method that reports how a turn ended.
	End = peer.Method[prog.EndRequest, prog.EndReply]{Name: "EndTurn"}
	// Close is the remote method that ends a program.
	Close = peer.Method[prog.CloseRequest, prog.CloseReply]{Name: "CloseProgram"}
	// Ended is the remote method that asks which programs have ended.
	Ended = peer.Method[EndedRequest, EndedReply]{Name: "EndedPrograms"}
	// Carried is the remote method that asks a relaying instance which turns
	// it runs.
	Carried = peer.Method[CarriedRequest, CarriedReply]{Name: "CarriedTurns"}
)

type (
	// BeginMessage carries a BeginRequest. Its deadline goes over the wire as
	// the time that is left, since clocks of two instances can't be compared.
	BeginMessage struct {
		Request  prog.BeginRequest `json:"request"`
		TimeLeft time.Duration     `json:"timeLeft"`
	}

	// EndedRequest asks which of some programs have ended.
	EndedRequest struct {
		Programs []string `json:"programs"`
	}

	// EndedReply lists ended programs.
	EndedReply struct {
		Programs []string `json:"programs"`
	}

	// CarriedRequest asks for the running turns of some shards.
	CarriedRequest struct {
		Shards fleet.Bitmap `json:"shards"`
		// Asker is the peer address that the ends of these turns are told to.
		Asker string `json:"asker"`
	}

	// CarriedReply lists running turns.
	CarriedReply struct {
		Turns []CarriedTurn `json:"turns"`
	}

	// CarriedTurn is a turn that the answering instance runs.
	CarriedTurn struct {
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
