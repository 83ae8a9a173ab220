package prog

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// Shards is the number of shards that root ids are hashed to.
	Shards = 256

	rootPrefix = "p-"
)

// NewRoot returns a random id for a new root program.
func NewRoot(random *rand.Rand) string {
	return fmt.Sprintf("%s%016x%08x", rootPrefix, random.Uint64(), random.Uint32())
}

// RootOf returns the id of the root program of a program or sub-agent.
func RootOf(program string) string {
	root, _, _ := strings.Cut(program, ".")
	return root
}

// ShardOf returns the shard of a program's family.
func ShardOf(program string) int {
	return int(xxhash.Sum64String(RootOf(program)) % Shards)
}

// ValidRoot reports whether an id is a well-formed id of a root program, and so
// safe as a part of a row's key.
func ValidRoot(id string) bool {
	suffix, ok := strings.CutPrefix(id, rootPrefix)
	if !ok || suffix == "" || len(id) > maxIDBytes {
		return false
	}
	return strings.IndexFunc(suffix, notIDRune) < 0
}

func notIDRune(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	digit := r >= '0' && r <= '9'
	return !letter && !digit && r != '-' && r != '_'
}

// childID returns the id of a sub-agent. Its number is a hash of the
// idempotency key of the opening, so that two homes assign the same id to one
// opening and different ids to two.
func childID(parent, key string) string {
	return parent + "." + strconv.FormatUint(xxhash.Sum64String(key), 10)
}
