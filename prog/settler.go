package prog

import (
	"fmt"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

type (
	// settler is the state machine that writes a claim's outcome to the table.
	// Like claimer, it does no I/O.
	settler struct {
		claim Claim
		row   IntentRow
		// objects are written before the row.
		objects     []Object
		commitCount int
	}

	// settleStep is the next step of a settlement; the zero value means done.
	settleStep struct {
		commit *store.Txn
		read   bool
		// wait means that the settlement is retried later.
		wait bool
	}
)

// newSettler returns the settlement of a claim and its first step.
func newSettler(claim Claim, row IntentRow) (*settler, settleStep) {
	s := &settler{claim: claim, row: row}
	return s, s.writeOutcome(claim.Version)
}

func (s *settler) writeOutcome(version int64) settleStep {
	s.commitCount++
	id := s.claim.Row.Claim + "/settle"
	return settleStep{commit: writeIntent(id, s.commitCount, s.claim.RowKey, version, &s.row)}
}

func (s *settler) committed(err error) settleStep {
	switch {
	case err == nil:
		return settleStep{}
	case errors.Is(err, store.ErrUnavailable):
		return settleStep{wait: true}
	default:
		return settleStep{read: true}
	}
}

// read handles the result of reading the row, which is overwritten only while
// it is this claim's planned row. A claim without a row gets one, so that a
// late commit of the claim cannot take effect.
func (s *settler) read(row store.Row, err error) settleStep {
	if errors.Is(err, store.ErrNotFound) {
		return s.writeOutcome(0)
	}
	if err != nil {
		return settleStep{wait: true}
	}
	intent, err := DecodeIntent(row.Value)
	if err != nil || intent.Claim != s.claim.Row.Claim || intent.State != IntentPlanned {
		return settleStep{}
	}
	return s.writeOutcome(row.Version)
}

func writeIntent(claim string, count int, key string, version int64, row *IntentRow) *store.Txn {
	return &store.Txn{
		RequestID:  fmt.Sprintf("%s/%d", claim, count),
		Conditions: []store.Condition{{Key: key, Version: version}},
		Writes:     []store.Write{{Key: key, Value: mustEncode(row)}},
	}
}
