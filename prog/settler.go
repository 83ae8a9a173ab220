package prog

import (
	"fmt"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

type (
	// settling brings a claim's outcome into the table. Like claiming it does
	// no I/O.
	settler struct {
		claim Claim
		row   IntentRow
		// objects are put before the row.
		objects     []Object
		commitCount int
	}

	// settleStep is what a settlement wants done next; none set means that
	// it is done.
	settleStep struct {
		commit *store.Txn
		read   bool
		// wait says that the store has to be tried again later.
		wait bool
	}
)

// newSettling returns the settlement of a claim and its first step.
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

// read looks whether the row still is the claim's plan. A loose claim that
// has no row gets one, so that a late commit of it cannot take effect.
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
