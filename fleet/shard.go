// Package fleet decides which instances are fit, which of them is the home of
// each shard, and what authority a home has over its shards.
//
// Home assignment is advisory: two instances may both consider themselves the
// home of a shard. Safety rests on authority, which derives from a fixed number
// of lease slots. An instance holds slots under a lease in the table service. A
// slot holder delegates its slots to homes, shard by shard, for a few seconds,
// and never promises the same slot of a shard to two homes at once. A home with
// more than half of the slots of a shard has exclusive authority over it.
//
// The package does no I/O: times and random sources are passed in, and it
// returns the actions to carry out. One thread owns a Fleet; any thread may
// read a View.
package fleet

import "github.com/cespare/xxhash/v2"

const (
	// ShardCount is the number of shards.
	ShardCount = 256
	// LeaseSlotCount is the number of lease slots in the fleet.
	LeaseSlotCount = 16
	// MinExclusiveSlots is the fewest slots that give exclusive authority.
	MinExclusiveSlots = LeaseSlotCount/2 + 1
)

// Shard is a part of the key space that has one home.
type Shard uint8

// ShardOf returns the shard of a root program id, a team or a service name.
func ShardOf(key string) Shard {
	return Shard(xxhash.Sum64String(key) % ShardCount)
}
