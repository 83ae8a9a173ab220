package prog

import (
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

const storeRetryTimeout = 3 * time.Second // how long a claim tries at a failing store

type (
	// ClaimRequest asks for leave to dispatch a call that may not be repeated.
	ClaimRequest struct {
		Team    string
		Service string
		// Key is the caller's idempotency key, or a generated one.
		Key string
		// Generated says that this instance made the key for this request, so
		// that no other sending of it can exist.
		Generated bool
		// Digest is the digest of the request's body.
		Digest string
		// Deadline ends the wait, by this instance's clock.
		Deadline time.Time
	}

	// ClaimReply has exactly one field set.
	ClaimReply struct {
		// Run lets this instance dispatch the call, once.
		Run *Claim
		// Replay is the answer of an earlier sending.
		Replay *CallAnswer
		// object holds a replay that is too large for the row.
		object  *objectRef
		Refusal *Refusal
	}

	// Claim is the leave to dispatch a call once. It must be settled.
	Claim struct {
		RowKey  string
		Version int64
		Row     IntentRow
	}

	// claiming takes one claim through the table. It does no I/O: each method
	// takes what a step gave and returns the next step.
	//
	// A call is dispatched only after a commit that this claim is known to
	// have won: the row is absent or says notRun before, and names this claim
	// after. A lost answer is settled by reading the row. If that cannot be
	// done before the deadline, this claim is refused and never dispatches;
	// its row may still appear, and no other instance dispatches on the
	// strength of it. The claim is then loose, and is settled as notRun as
	// soon as the store answers, so that a resend can claim the call.
	//
	// Such a refusal says notRun for a generated key, and for a caller's key
	// if the row was read and is absent or says notRun. Else an earlier
	// sending may have run, which only the table can tell, so that the
	// truthful answer is unknown.
	claimer struct {
		request ClaimRequest
		self    Dispatcher
		claimID string
		isLive  func(Dispatcher) bool
		// loose is set while a row of this claim may exist or appear.
		mayHaveRow bool
		// failing is since when the table takes no commit.
		failingSince time.Time
		// giving is set once the claim only looks whether the call has run.
		gaveUp bool
		// count numbers the transactions of this claim.
		commitCount int
		// pauses counts the pauses between looks at the row.
		polls int
	}

	// claimStep is what a claim wants done next; exactly one field is set.
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

// put asks for the row of a version to become this claim's.
func (c *claimer) plan(version int64) claimStep {
	c.commitCount++
	row := c.plannedRow()
	return claimStep{commit: writeIntent(c.claimID, c.commitCount, c.key(), version, &row)}
}

// committed takes the outcome of a commit.
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

// read takes the row as it was read.
func (c *claimer) read(row store.Row, err error, now time.Time) claimStep {
	late := c.gaveUp || !now.Before(c.request.Deadline)
	switch {
	case errors.Is(err, store.ErrNotFound) && late:
		return claimStep{reply: &ClaimReply{Refusal: refuse(c.giveUpReason())}}
	case errors.Is(err, store.ErrNotFound):
		return c.plan(0)
	case err != nil && late && c.request.Generated:
		return claimStep{reply: &ClaimReply{Refusal: refuse(ReasonStore)}}
	case err != nil && late:
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
	return c.handleOtherRow(intent, row.Version, late)
}

// own goes on with the claim's own row, which a commit with a lost answer has
// written.
func (c *claimer) handleOwnRow(intent *IntentRow, version int64) claimStep {
	if intent.State != IntentPlanned {
		return c.refuseUnknown(ReasonOutcomeUnknown)
	}
	return c.grant(version)
}

// others answers by the row of another claim.
func (c *claimer) handleOtherRow(intent *IntentRow, version int64, late bool) claimStep {
	if intent.Digest != c.request.Digest {
		return claimStep{reply: &ClaimReply{Refusal: refuse(ReasonConflict)}}
	}
	switch intent.State {
	case IntentDone:
		return claimStep{reply: replayOf(intent)}
	case IntentNotRun:
		if late {
			return claimStep{reply: &ClaimReply{Refusal: refuse(c.giveUpReason())}}
		}
		return c.plan(version)
	case IntentPlanned:
		if !late && c.isLive(intent.Dispatcher) {
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

// reason is why a claim is given up that has found the call not run.
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
