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

// NewRoot returns the id of a new root program.
func NewRoot(random *rand.Rand) string {
	return fmt.Sprintf("%s%016x%08x", rootPrefix, random.Uint64(), random.Uint32())
}

// RootOf returns the id of the root program of a program or a sub-agent.
func RootOf(program string) string {
	root, _, _ := strings.Cut(program, ".")
	return root
}

// ShardOf returns the shard of a program's family.
func ShardOf(program string) int {
	return int(xxhash.Sum64String(RootOf(program)) % Shards)
}

// ValidRoot reports whether an id has the form of a root program's id, so
// that it is safe as a part of a row's key.
func ValidRoot(id string) bool {
	rest, ok := strings.CutPrefix(id, rootPrefix)
	if !ok || rest == "" || len(id) > maxIDBytes {
		return false
	}
	return strings.IndexFunc(rest, notIDRune) < 0
}

func notIDRune(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	digit := r >= '0' && r <= '9'
	return !letter && !digit && r != '-' && r != '_'
}

// childID returns the id of a sub-agent. Its number comes from the opener's
// key, so that two homes give one opening the same id and two openings
// different ones.
func childID(parent, key string) string {
	return parent + "." + strconv.FormatUint(xxhash.Sum64String(key), 10)
}
