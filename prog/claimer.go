package prog

import (
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

const storeRetryTimeout = 3 * time.Second // limit on a claim's commit retries

type (
	// ClaimRequest asks for the right to dispatch a call that must run at most
	// once.
	ClaimRequest struct {
		Team    string
		Service string
		// Key is the caller's idempotency key, or a generated one.
		Key string
		// Generated is set if this instance generated the key for this request,
		// so that the call cannot have been sent before.
		Generated bool
		// Digest is the digest of the request's body.
		Digest string
		// Deadline limits the wait; it is a time of this instance's clock.
		Deadline time.Time
	}

	// ClaimReply has exactly one field set.
	ClaimReply struct {
		// Run allows this instance to dispatch the call once.
		Run *Claim
		// Replay is the stored answer to an earlier request with the key.
		Replay *CallAnswer
		// object refers to a replay that is too large for the row.
		object  *objectRef
		Refusal *Refusal
	}

	// Claim is the right to dispatch a call once. Its outcome must be recorded
	// with one of the Settle methods of Intents.
	Claim struct {
		RowKey  string
		Version int64
		Row     IntentRow
	}

	// claimer is the state machine of one claim. It does no I/O: each method
	// takes the result of a step and returns the next step.
	//
	// A call is dispatched only after a commit that is known to have
	// succeeded: it replaces an absent row, or one in state notRun, by a
	// planned row with this claim's id. If the answer to the commit is lost,
	// the row is read. If no read succeeds before the deadline, the claim is
	// refused and never dispatches. Its row may still appear (mayHaveRow); no
	// other instance dispatches because of it. It is settled as notRun as soon
	// as the store answers, so that a resend can claim the call.
	//
	// Such a refusal has the run state notRun for a generated key, and for a
	// caller's key if the row was read and is absent or notRun. Otherwise an
	// earlier request with the key may have run, which only the table records,
	// so the run state is unknown.
	claimer struct {
		request ClaimRequest
		self    Dispatcher
		claimID string
		isLive  func(Dispatcher) bool
		// mayHaveRow is set while a row of this claim may exist or appear.
		mayHaveRow bool
		// failingSince is the time of the first failed commit.
		failingSince time.Time
		// gaveUp is set when the claim stops committing and only reads whether
		// the call has run.
		gaveUp bool
		// commitCount numbers the claim's transactions.
		commitCount int
		// polls counts the pauses between reads of the row.
		polls int
	}

	// claimStep is the next step of a claim; exactly one field is set.
	claimStep struct {
		commit *store.Txn
		read   bool
		wait   bool
		reply  *ClaimReply
	}

	objectRef struct {
		name   string
		digest string
	}
)

func (c *claimer) key() string {
	return IntentKey(c.request.Team, c.request.Service, c.request.Key)
}

func (c *claimer) plannedRow() IntentRow {
	return IntentRow{
		State:      IntentPlanned,
		Digest:     c.request.Digest,
		Dispatcher: c.self,
		Claim:      c.claimID,
	}
}

// plan commits this claim's planned row over the given version of the row.
func (c *claimer) plan(version int64) claimStep {
	c.commitCount++
	row := c.plannedRow()
	return claimStep{commit: writeIntent(c.claimID, c.commitCount, c.key(), version, &row)}
}

// committed handles the outcome of a commit.
func (c *claimer) committed(version int64, err error, now time.Time) claimStep {
	switch {
	case err == nil:
		return c.grant(version)
	case errors.Is(err, store.ErrConflict):
		return claimStep{read: true}
	case !errors.Is(err, store.ErrUnavailable):
		c.mayHaveRow = true
	}
	if c.failingSince.IsZero() {
		c.failingSince = now
	}
	c.gaveUp = now.Sub(c.failingSince) >= storeRetryTimeout
	return claimStep{read: c.gaveUp, wait: !c.gaveUp}
}

// read handles the result of reading the row.
func (c *claimer) read(row store.Row, err error, now time.Time) claimStep {
	expired := c.gaveUp || !now.Before(c.request.Deadline)
	switch {
	case errors.Is(err, store.ErrNotFound) && expired:
		return claimStep{reply: &ClaimReply{Refusal: refuse(c.giveUpReason())}}
	case errors.Is(err, store.ErrNotFound):
		return c.plan(0)
	case err != nil && expired && c.request.Generated:
		return claimStep{reply: &ClaimReply{Refusal: refuse(ReasonStore)}}
	case err != nil && expired:
		return c.refuseUnknown(ReasonStore)
	case err != nil:
		return claimStep{wait: true}
	}
	intent, err := DecodeIntent(row.Value)
	if err != nil {
		return c.refuseUnknown(ReasonDamaged)
	}
	if intent.Claim == c.claimID {
		return c.handleOwnRow(intent, row.Version)
	}
	return c.handleOtherRow(intent, row.Version, expired)
}

// handleOwnRow continues with this claim's own row, written by a commit whose
// answer was lost.
func (c *claimer) handleOwnRow(intent *IntentRow, version int64) claimStep {
	if intent.State != IntentPlanned {
		return c.refuseUnknown(ReasonOutcomeUnknown)
	}
	return c.grant(version)
}

// handleOtherRow replies according to the row of another claim.
func (c *claimer) handleOtherRow(intent *IntentRow, version int64, expired bool) claimStep {
	if intent.Digest != c.request.Digest {
		return claimStep{reply: &ClaimReply{Refusal: refuse(ReasonConflict)}}
	}
	switch intent.State {
	case IntentDone:
		return claimStep{reply: replayOf(intent)}
	case IntentNotRun:
		if expired {
			return claimStep{reply: &ClaimReply{Refusal: refuse(c.giveUpReason())}}
		}
		return c.plan(version)
	case IntentPlanned:
		if !expired && c.isLive(intent.Dispatcher) {
			return claimStep{wait: true}
		}
	}
	return c.refuseUnknown(ReasonOutcomeUnknown)
}

func (c *claimer) grant(version int64) claimStep {
	c.mayHaveRow = false
	claim := &Claim{RowKey: c.key(), Version: version, Row: c.plannedRow()}
	return claimStep{reply: &ClaimReply{Run: claim}}
}

// giveUpReason is the refusal reason if the claim ends with the call known not
// to have run.
func (c *claimer) giveUpReason() Reason {
	if c.gaveUp {
		return ReasonStore
	}
	return ReasonDeadline
}

func (c *claimer) refuseUnknown(reason Reason) claimStep {
	return claimStep{reply: &ClaimReply{Refusal: &Refusal{
		Reason:    reason,
		RunState:  Unknown,
		Retryable: retryable(reason),
	}}}
}

func replayOf(intent *IntentRow) *ClaimReply {
	if intent.Object != "" {
		return &ClaimReply{object: &objectRef{name: intent.Object, digest: intent.ObjectDigest}}
	}
	return &ClaimReply{Replay: intent.Answer}
}
