package fleet

import "github.com/buckthorntide/buckthorntide/store"

type (
	// Exchange is a request to send to a peer. Its outcome goes to
	// Fleet.Received or Fleet.Failed.
	Exchange struct {
		Peer    store.Instance
		Request PullRequest
	}

	// AuthorityChange is the new authority of this instance over a shard.
	AuthorityChange struct {
		Shard     Shard
		Authority Authority
	}

	// Handover is a planned move of shards to their next home. The receiver of
	// the action exports what it keeps for the shards, before it applies the
	// authority changes of the same Actions, and sends it to the next home
	// together with the id.
	Handover struct {
		ID     uint64
		To     store.Instance
		Shards Bitmap
	}

	// Actions is what a tick asks for. The order to apply them in is:
	// Handovers, Authority, then the rest.
	Actions struct {
		// Exchanges are the requests to send.
		Exchanges []Exchange
		// Handovers are the planned moves that begin now.
		Handovers []Handover
		// Authority lists the shards whose authority changed or was extended.
		Authority []AuthorityChange
		// HomesChanged says that the View has other homes than before.
		HomesChanged bool
		// ReadRows asks for all rows under SeatPrefix and SessionPrefix. The
		// outcome goes to Fleet.RowsRead or Fleet.ReadFailed.
		ReadRows bool
		// Commit is a transaction to commit, or nil. Its outcome goes to
		// Fleet.Committed.
		Commit *store.Txn
	}
)
