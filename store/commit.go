package store

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
)

// Commit applies a transaction and returns the version that every written row
// now has.
//
// A transaction that makes a condition of a row it writes can take effect only
// once, so it is sent again after a lost answer; if the second answer is a
// conflict, the request id in the written rows tells whether the first one took
// effect. Any other transaction is sent again only while it surely never
// reached the platform. An empty request id is replaced. A row that was conditioned on being absent must not be
// deleted while its transaction is under way.
func (c *Client) Commit(ctx context.Context, txn Txn) (int64, error) {
	if txn.RequestID == "" {
		txn.RequestID = NewRequestID()
	}
	call := call{method: http.MethodPost, path: PathCommit, body: txn}
	once := writesConditionedRow(txn)
	doubtful := false
	var last answer
	for attempt := range c.attempts {
		if attempt > 0 && !c.pause(ctx, attempt) {
			break
		}
		last = c.attempt(ctx, call)
		if last.settled() {
			return c.conclude(ctx, txn, last, doubtful)
		}
		doubtful = doubtful || !last.unsent && len(txn.Writes) > 0
		if doubtful && !once {
			break
		}
	}
	if !doubtful {
		return 0, errors.Annotate(ErrUnavailable, last.reason())
	}
	return c.readBack(ctx, txn, nil)
}

// conclude turns a settled answer into a result. A conflict after a doubtful
// attempt may be with the transaction's own rows.
func (c *Client) conclude(ctx context.Context, txn Txn, last answer, doubtful bool) (int64, error) {
	if last.status == http.StatusConflict {
		conflict := newConflict(last.body)
		if !doubtful {
			return 0, conflict
		}
		return c.readBack(ctx, txn, conflict)
	}
	if err := last.readError(); err != nil {
		return 0, err
	}
	var reply CommitReply
	if err := json.Unmarshal(last.body, &reply); err != nil {
		return 0, errors.Annotate(ErrUnknown, err.Error())
	}
	return reply.Version, nil
}

func newConflict(body []byte) *ConflictError {
	var reply ConflictReply
	_ = json.Unmarshal(body, &reply)
	return &ConflictError{Rows: reply.Rows}
}

// readBack settles a lost answer by the written rows. Without a conflict the
// request may still be on its way, so that untouched rows prove nothing.
func (c *Client) readBack(ctx context.Context, txn Txn, conflict *ConflictError) (int64, error) {
	version, verdict := settle(ctx, c, txn)
	if verdict == verdictApplied {
		return version, nil
	}
	if verdict == verdictUntouched && conflict != nil {
		return 0, conflict
	}
	return 0, ErrUnknown
}

func (a answer) reason() string {
	if a.err != nil {
		return a.err.Error()
	}
	return http.StatusText(a.status)
}
