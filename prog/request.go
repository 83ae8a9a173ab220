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
		// Parent is the program that opens the sub-agent; empty for a root
		// program.
		Parent string
		// Key is the idempotency key of the opening.
		Key  string
		Team string
		// Budget is the family's; zero fields take their defaults. It is
		// ignored for sub-agents.
		Budget conf.Budget
		// Resent must be set on every request but the first, whichever home it
		// goes to. A resent program may not spend before its row is committed.
		Resent bool
	}

	// OpenReply answers an OpenRequest.
	OpenReply struct {
		Program string
		// Kept is set if the program is in the table. Otherwise the caller
		// resends the request until it is.
		Kept    bool
		Refusal *Refusal
	}

	// BeginRequest requests a program's next turn.
	BeginRequest struct {
		Program string
		Team    string
		// CallID is the caller's idempotency key or a generated id.
		CallID string
		// Attempt identifies one request to a relay instance: its resends to
		// homes share it, the caller's resends don't.
		Attempt string
		// Relay is the instance that relays the turn.
		Relay string
		Kind  Kind
		// Digest is the digest of the request's body.
		Digest string
		// EstimatedTokens is the maximum of tokens to reserve for prompt and
		// answer.
		EstimatedTokens int64
		// WithHistory adds the tokens of the program's history, which the
		// caller doesn't know, to EstimatedTokens and MinimumTokens.
		WithHistory bool
		// MinimumTokens is the smallest reservation that the call accepts;
		// zero means EstimatedTokens.
		MinimumTokens int64
		// ExpectedTurn is the turn number that the caller expects; zero means
		// any.
		ExpectedTurn int
		// Deadline limits the call; it is a time of the home's clock.
		Deadline time.Time
	}

	// BeginReply has exactly one field set.
	BeginReply struct {
		Start   *Start
		Wait    *Wait
		Replay  *Stored
		Refusal *Refusal
	}

	// Start allows the relay instance to run the call.
	Start struct {
		Turn int
		// Previous is the digest of the previous turn, for EndRequest.
		Previous string
		// History holds the messages of all earlier model turns. It is shared
		// and must not be modified.
		History []Message
		// ReservedTokens is the maximum of tokens, prompt and answer, that the
		// call may use.
		ReservedTokens int64
		// HistoryTokens is the number of prompt tokens that the history takes.
		HistoryTokens int64
		// TimeLeft is the rest of the program's time budget.
		TimeLeft time.Duration
		// CachedOn lists the engines that hold the program's prefix, the most
		// recent last.
		CachedOn []string
		// Attained is the number of tokens that the family has used so far.
		Attained int64
	}

	// Wait means that earlier calls of the program are ahead. The caller
	// repeats the request with the same Attempt and keeps its place.
	Wait struct {
		// Position is the number of calls ahead of this one.
		Position int
	}

	// EndRequest reports the outcome of a started call. It holds all that
	// another home needs to record the turn.
	EndRequest struct {
		Program string
		Team    string
		// Turn is from Start. If it is zero and Outcome isn't completed, the
		// request withdraws a call whose Start the relay instance did not
		// receive: it frees the turn or the place in the queue.
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
		// Kept is set once no part of the report can be lost.
		Kept bool
		// Superseded is set if another call has taken the turn, which is in
		// Stored. The report will never be recorded and is not resent.
		Superseded bool
		Stored     *Stored
		// Refusal is why the report could not be recorded yet. The relay
		// instance resends it while it is retryable. ReasonTurn means that the
		// previous turn is unknown or not committed; if that lasts for minutes
		// at a home that is reachable, the previous turn is lost and the relay
		// instance drops the report.
		Refusal *Refusal
	}

	// CloseRequest ends a program and its sub-agents.
	CloseRequest struct {
		Program string
		Team    string
	}

	// CloseReply answers a CloseRequest.
	CloseReply struct {
		// Kept is set if the end is in the table.
		Kept    bool
		Refusal *Refusal
	}

	// RelayedTurn is a turn that a relay instance runs, or whose report it still
	// holds, for an earlier home.
	RelayedTurn struct {
		Begin    BeginRequest
		Turn     int
		Previous string
	}
)
