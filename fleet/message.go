package fleet

import (
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

type (
	// Heartbeat is what an instance says of itself in every message.
	Heartbeat struct {
		// Instance is the sender. Its Leaving field says that it is draining.
		Instance store.Instance `json:"instance" cbor:"1,keyasint"`
		// Epoch tells the sender's process from others of the same name.
		Epoch uint64 `json:"epoch" cbor:"2,keyasint"`
		// Seats is the number of seats that the sender holds.
		Slots int `json:"seats,omitempty" cbor:"3,keyasint,omitempty"`
		// Suspects names peers that the sender has lost. The receiver checks
		// them by itself; it takes nobody's word for it.
		Suspects []string `json:"suspects,omitempty" cbor:"4,keyasint,omitempty"`
	}

	// Release tells a seat holder that a home gave up shards in favour of
	// another one, which alone may have them until the old promise has lapsed.
	Release struct {
		// Handover is the id of the planned handover.
		Handover uint64 `json:"handover" cbor:"1,keyasint"`
		// To is the name of the next home.
		To string `json:"to" cbor:"2,keyasint"`
		// Acked is the id of the last reply of this holder that the home had
		// received when it gave the shards up.
		Acked uint64 `json:"acked" cbor:"3,keyasint"`
		// Shards are the shards that were given up.
		Shards Bitmap `json:"shards" cbor:"4,keyasint"`
	}

	// PullRequest asks a seat holder for its seats of some shards. It is a
	// heartbeat as well; its set of shards may be empty.
	PullRequest struct {
		// ID is unique among the requests of the sender's process.
		ID uint64 `json:"id" cbor:"1,keyasint"`
		// From is the sender's heartbeat.
		From Heartbeat `json:"from" cbor:"2,keyasint"`
		// Shards are the shards that the sender is home of.
		Shards Bitmap `json:"shards" cbor:"3,keyasint"`
		// Releases are the sender's recent handovers.
		Releases []Release `json:"releases,omitempty" cbor:"4,keyasint,omitempty"`
	}

	// Handed says that a granted shard came by a planned handover, straight
	// from the previous home.
	Handed struct {
		Shard    Shard  `json:"shard" cbor:"1,keyasint"`
		Handover uint64 `json:"handover" cbor:"2,keyasint"`
	}

	// PullReply is a seat holder's answer.
	PullReply struct {
		// ID is the request's.
		ID uint64 `json:"id" cbor:"1,keyasint"`
		// From is the sender's heartbeat.
		From Heartbeat `json:"from" cbor:"2,keyasint"`
		// Granted are the shards that are delegated to the asker.
		Granted Bitmap `json:"granted" cbor:"3,keyasint"`
		// Seats is how many seats are delegated for each granted shard.
		Slots int `json:"seats,omitempty" cbor:"4,keyasint,omitempty"`
		// TTL is how long the delegation holds, counted by the asker from the
		// moment before it sent the request.
		TTL time.Duration `json:"ttl,omitempty" cbor:"5,keyasint,omitempty"`
		// RetryAfter is when the first of the shards that were refused comes free,
		// or zero.
		RetryAfter time.Duration `json:"retryAfter,omitempty" cbor:"6,keyasint,omitempty"`
		// Handed lists the granted shards that came by a planned handover.
		Handed []Handed `json:"handed,omitempty" cbor:"7,keyasint,omitempty"`
	}
)
