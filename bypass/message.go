package bypass

import (
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/rows"
)

// Outcomes of a store call that a peer made.
const (
	// Done is a call that succeeded.
	Done Outcome = iota
	// NotDone is a call without effect; see rows.ErrNotDone.
	NotDone
	// Unknown is a call that may have taken effect; see rows.ErrUnknown.
	Unknown
	// Conflict is a transaction of which a row had another version.
	Conflict
)

type (
	// Outcome is the outcome of a store call.
	Outcome int

	// CommitRequest requests that a peer commits a transaction.
	CommitRequest struct {
		Txn rows.Txn `json:"txn"`
	}

	// RangeRequest requests that a peer reads rows.
	RangeRequest struct {
		Query rows.Query `json:"query"`
	}

	// Reply carries the store's reply to such a call.
	Reply struct {
		Outcome Outcome `json:"outcome"`
		// Page holds the rows that were read or, after a conflict, the current rows.
		Page rows.Page `json:"page"`
	}
)

// Remote methods that an instance serves for its peers.
var (
	Commit = peer.Method[CommitRequest, Reply]{Name: "StoreCommit"}
	Range  = peer.Method[RangeRequest, Reply]{Name: "StoreRange"}
)
