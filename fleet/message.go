package fleet

import (
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

type (
	// Heartbeat is the state that an instance reports in every message.
	Heartbeat struct {
		// Instance is the sender, with Leaving set while it drains.
		Instance store.Instance `json:"instance" cbor:"1,keyasint"`
		// Epoch distinguishes the sender's process from others of the same name.
		Epoch uint64 `json:"epoch" cbor:"2,keyasint"`
		// Slots is the number of lease slots that the sender can delegate.
		Slots int `json:"seats,omitempty" cbor:"3,keyasint,omitempty"`
		// Suspects names peers that failed to answer the sender. The receiver
		// probes them itself before it treats them as failed.
		Suspects []string `json:"suspects,omitempty" cbor:"4,keyasint,omitempty"`
	}

	// Release informs a slot holder that a home gave up shards in favour of
	// another one. Until the old promise expires only that one may get them.
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

	// PullRequest asks a slot holder to delegate its slots of some shards. It
	// also serves as a heartbeat, then possibly without shards.
	PullRequest struct {
		// ID rises with each request of the sender's process.
		ID uint64 `json:"id" cbor:"1,keyasint"`
		// From is the sender's heartbeat.
		From Heartbeat `json:"from" cbor:"2,keyasint"`
		// Shards are the shards whose home is the sender.
		Shards Bitmap `json:"shards" cbor:"3,keyasint"`
		// Releases are the sender's recent handovers.
		Releases []Release `json:"releases,omitempty" cbor:"4,keyasint,omitempty"`
	}

	// Handed marks a granted shard whose slots a planned handover transferred
	// directly from the previous home.
	Handed struct {
		Shard    Shard  `json:"shard" cbor:"1,keyasint"`
		Handover uint64 `json:"handover" cbor:"2,keyasint"`
	}

	// PullReply is a slot holder's answer to a PullRequest.
	PullReply struct {
		// ID is the id of the request.
		ID uint64 `json:"id" cbor:"1,keyasint"`
		// From is the sender's heartbeat.
		From Heartbeat `json:"from" cbor:"2,keyasint"`
		// Granted are the shards that are delegated to the requester.
		Granted Bitmap `json:"granted" cbor:"3,keyasint"`
		// Slots is the number of slots delegated for each granted shard.
		Slots int `json:"seats,omitempty" cbor:"4,keyasint,omitempty"`
		// TTL is how long the delegation lasts, counted from the time that the
		// requester read before it sent the request.
		TTL time.Duration `json:"ttl,omitempty" cbor:"5,keyasint,omitempty"`
		// RetryAfter is the time until the first refused shard is free, or zero.
		RetryAfter time.Duration `json:"retryAfter,omitempty" cbor:"6,keyasint,omitempty"`
		// Handed lists the granted shards that a planned handover transferred.
		Handed []Handed `json:"handed,omitempty" cbor:"7,keyasint,omitempty"`
	}
)
