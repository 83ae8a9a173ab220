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
// reached the platform. A row that was conditioned on being absent must not be
// deleted while its transaction is under way.
func (c *Client) Commit(ctx context.Context, txn Txn) (int64, error) {
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
		if !doubtful {
			return 0, ErrConflict
		}
		return c.settleConflict(ctx, txn, last.body)
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

func (c *Client) settleConflict(ctx context.Context, txn Txn, body []byte) (int64, error) {
	var reply ConflictReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return 0, errors.Annotate(ErrUnknown, err.Error())
	}
	for _, row := range reply.Rows {
		if row.Writer == txn.RequestID {
			return row.Version, nil
		}
	}
	return c.readBack(ctx, txn, ErrConflict)
}

// readBack looks for the transaction's request id in the rows it writes. A row
// that still has the version it was conditioned on proves that the transaction
// has not taken effect; then the error untouched is returned, or ErrUnknown if
// that is nil, since the request may still be on its way.
func (c *Client) readBack(ctx context.Context, txn Txn, untouched error) (int64, error) {
	before := make(map[string]int64, len(txn.Conditions))
	for _, condition := range txn.Conditions {
		before[condition.Key] = condition.Version
	}
	for _, w := range txn.Writes {
		if w.Delete {
			continue
		}
		row, err := c.Get(ctx, w.Key)
		if err != nil && !errors.Is(err, ErrNotFound) {
			return 0, errors.Annotate(ErrUnknown, err.Error())
		}
		if row.Writer == txn.RequestID {
			return row.Version, nil
		}
		version, conditioned := before[w.Key]
		if conditioned && row.Version == version && untouched != nil {
			return 0, untouched
		}
	}
	return 0, ErrUnknown
}

// writesConditionedRow says that a second run of the transaction would conflict
// with the first.
func writesConditionedRow(txn Txn) bool {
	written := make(map[string]bool, len(txn.Writes))
	for _, w := range txn.Writes {
		written[w.Key] = true
	}
	for _, condition := range txn.Conditions {
		if written[condition.Key] {
			return true
		}
	}
	return false
}

func (a answer) reason() string {
	if a.err != nil {
		return a.err.Error()
	}
	return http.StatusText(a.status)
}
