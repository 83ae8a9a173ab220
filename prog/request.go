package prog

import (
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
)

type (
	// OpenRequest opens a root program or a sub-agent.
	OpenRequest struct {
		// Program is a new root id from NewRoot; empty for a sub-agent.
		Program string
		// Parent is the program that the sub-agent belongs to; empty for a
		// root program.
		Parent string
		// Key makes the opening of a sub-agent idempotent.
		Key  string
		Team string
		// Budget is the family's; a zero field takes the default. It is not
		// used for sub-agents.
		Budget conf.Budget
		// Resent must be set on every sending but the first, at whichever
		// home. A resent program may not spend before its row is committed.
		Resent bool
	}

	// OpenReply answers an OpenRequest.
	OpenReply struct {
		Program string
		// Kept says that the program is in the table. If it is false the asker
		// keeps the request and resends it until it is true.
		Kept    bool
		Refusal *Refusal
	}

	// BeginRequest asks for a program's next turn.
	BeginRequest struct {
		Program string
		Team    string
		// CallID is the caller's idempotency key or a generated id.
		CallID string
		// Attempt is the same for every sending of one request by a relaying
		// instance and differs between a caller's resends.
		Attempt string
		// Relay is the relaying instance.
		Relay string
		Kind  Kind
		// Digest is the digest of the request's body.
		Digest string
		// EstimatedTokens is the most tokens, prompt and answer, to reserve.
		EstimatedTokens int64
		// WithHistory adds the tokens of the program's history to the estimate
		// and to the minimum; the asker does not know them.
		WithHistory bool
		// MinimumTokens is the fewest tokens that the call can do with; zero
		// means EstimatedTokens.
		MinimumTokens int64
		// ExpectedTurn is the turn that the caller takes this to be; zero
		// means any.
		ExpectedTurn int
		// Deadline ends the call, by the home's clock.
		Deadline time.Time
	}

	// BeginReply has exactly one field set.
	BeginReply struct {
		Start   *Start
		Wait    *Wait
		Replay  *Stored
		Refusal *Refusal
	}

	// Start lets the relaying instance run the call.
	Start struct {
		Turn int
		// Previous is the digest of the turn before; EndRequest needs it.
		Previous string
		// History holds the messages of all earlier model turns. It is shared
		// and must not be changed.
		History []Message
		// ReservedTokens is the most tokens, prompt and answer, that the call
		// may use.
		ReservedTokens int64
		// HistoryTokens is how many tokens of a prompt the history makes.
		HistoryTokens int64
		// TimeLeft is what is left of the program's time.
		TimeLeft time.Duration
		// CachedOn names the engines that hold the program's prefix, the
		// latest last.
		CachedOn []string
		// Attained is the tokens that the family has used so far.
		Attained int64
	}

	// Wait says that earlier calls of the program come first. The asker sends
	// the same request with the same Attempt again and keeps its place.
	Wait struct {
		// Position is the number of calls before this one.
		Position int
	}

	// EndRequest reports how a started call ended. It holds all that another
	// home needs to take the turn in.
	EndRequest struct {
		Program string
		Team    string
		// Turn is from Start. Zero, with another outcome than completed,
		// withdraws a call whose Start the relaying instance did not get: it
		// gives the turn or the place in the queue back.
		Turn    int
		CallID  string
		Attempt string
		Relay   string
		Kind    Kind
		// Digest is the digest of the request's body, as in BeginRequest.
		Digest string
		// Previous is from Start.
		Previous string
		Outcome  Outcome
		// NewMessages are the messages that the caller added in this turn.
		NewMessages  []Message
		Answer       Message
		PromptTokens int64
		AnswerTokens int64
		// Engine is the upstream that answered.
		Engine string
	}

	// EndReply answers an EndRequest.
	EndReply struct {
		// Kept says that nothing of the report can be lost any more.
		Kept bool
		// Superseded says that another call has taken the turn, which is in
		// Stored; this report will never be kept and is not sent again.
		Superseded bool
		Stored     *Stored
		// Refusal says why the report could not be taken in yet. The relaying
		// instance sends it again while it is retryable. ReasonTurn says that
		// the turn before is not known or not surely kept; if that lasts for
		// minutes at a home that is reached, the turn before is lost and the
		// report is given up.
		Refusal *Refusal
	}

	// CloseRequest ends a program and its sub-agents.
	CloseRequest struct {
		Program string
		Team    string
	}

	// CloseReply answers a CloseRequest.
	CloseReply struct {
		// Kept says that the end is in the table.
		Kept    bool
		Refusal *Refusal
	}

	// Running is a call that a relaying instance runs for an earlier home.
	Running struct {
		Begin    BeginRequest
		Turn     int
		Previous string
	}
)
