// Package fleet decides which instances are fit, which of them is the home of
// a shard, and how much authority a home has over its shards at a moment.
//
// Homes only steer: two instances may both believe that they are the home of
// a shard. Authority is what is safe. It comes from a fixed number of seats.
// An instance holds seats under a lease in the table service. A seat holder
// delegates its seats to homes, shard by shard, for a few seconds, and never
// promises one seat and shard to two homes at once. A home with more than half
// of the seats of a shard has exclusive authority over it.
//
// Everything here is pure. Times and random sources come in as values, typed
// actions go out. One thread owns a Fleet; any thread may read a View.
package fleet

import "github.com/cespare/xxhash/v2"

const (
	// ShardCount is the number of shards.
	ShardCount = 256
	// SeatCount is the number of seats.
	SeatCount = 16
	// ExclusiveSeats is the fewest seats that give exclusive authority.
	ExclusiveSeats = SeatCount/2 + 1
)

// Shard is a part of the key space that has one home.
type Shard uint8

// ShardOf returns the shard of a root program id, a team or a service name.
func ShardOf(key string) Shard {
	return Shard(xxhash.Sum64String(key) % ShardCount)
}
