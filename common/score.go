package common

import "github.com/cespare/xxhash/v2"

// RendezvousScore returns the member's weight for the name in rendezvous hashing: the name
// is assigned to the member with the highest score. When a member joins or
// leaves, only the names assigned to it move.
func RendezvousScore(member, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{member, "\x00", name} {
		// WriteString of a digest never fails.
		_, _ = d.WriteString(part)
	}
	return d.Sum64()
}
