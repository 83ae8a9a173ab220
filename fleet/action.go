package fleet

import "github.com/buckthorntide/buckthorntide/store"

type (
	// Exchange is a request to send to a peer. The caller reports the outcome
	// to Fleet.Received or Fleet.Failed.
	Exchange struct {
		Peer    store.Instance
		Request PullRequest
	}

	// AuthorityChange is the new authority of this instance over a shard.
	AuthorityChange struct {
		Shard     Shard
		Authority Authority
	}

	// Handover is a planned move of shards to their next home. Before the caller
	// applies the authority changes of the same Actions, it exports its state of
	// the shards; it sends the state to the next home together with the id.
	Handover struct {
		ID     uint64
		To     store.Instance
		Shards Bitmap
	}

	// Actions are what the caller of Fleet.Tick must carry out, in this order:
	// Handovers, Authority, then the others.
	Actions struct {
		// Exchanges are the requests to send.
		Exchanges []Exchange
		// Handovers are the planned moves that begin now.
		Handovers []Handover
		// Authority lists the shards whose authority changed or was extended.
		Authority []AuthorityChange
		// HomesChanged reports that some shards have another home in the View than
		// at the tick before.
		HomesChanged bool
		// ReadRows asks for all rows under LeaseSlotPrefix and SessionPrefix. The
		// outcome goes to Fleet.RowsRead or Fleet.ReadFailed.
		ReadRows bool
		// Commit is a transaction to commit, or nil. Its outcome goes to
		// Fleet.Committed.
		Commit *store.Txn
	}
)
