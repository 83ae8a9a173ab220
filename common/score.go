package common

import "github.com/cespare/xxhash/v2"

// Score ranks a member for a name: the name falls to the member with the
// highest score, so that a member that comes or goes moves only its own names
// (rendezvous hashing).
func Score(member, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, text := range []string{member, "\x00", name} {
		// A digest takes every text.
		_, _ = d.WriteString(text)
	}
	return d.Sum64()
}
