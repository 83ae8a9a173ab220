package detour

import (
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/rows"
)

// Outcomes of a call that another instance made.
const (
	// Done calls were answered.
	Done Outcome = iota
	// NotDone calls were refused by the store.
	NotDone
	// Unknown calls may have taken effect.
	Unknown
	// Conflict says that a row had another version.
	Conflict
)

type (
	// Outcome is how a call of the store ended.
	Outcome int

	// CommitRequest asks an instance to commit a transaction for another.
	CommitRequest struct {
		Txn rows.Txn `json:"txn"`
	}

	// RangeRequest asks an instance to read rows for another.
	RangeRequest struct {
		Query rows.Query `json:"query"`
	}

	// Reply is the store's answer.
	Reply struct {
		Outcome Outcome `json:"outcome"`
		// Page has the rows that were read, or those in conflict.
		Page rows.Page `json:"page"`
	}
)

// Methods of the instances.
var (
	Commit = peer.Method[CommitRequest, Reply]{Name: "StoreCommit"}
	Range  = peer.Method[RangeRequest, Reply]{Name: "StoreRange"}
)
