// Package place assigns names to members in proportion to the members' sizes, by
// weighted rendezvous hashing with bounded fill. It does no I/O.
package place

import (
	"math"

	"github.com/buckthorntide/buckthorntide/common"
)

const (
	// minFillLimit is the fill up to which a member takes the names that are
	// assigned to it, however empty others are.
	minFillLimit = 0.6
	// boundedLoadFactor limits the fill to a multiple of the mean once that is
	// higher than minFillLimit.
	boundedLoadFactor = 1.25
	// hashRange is the number of values of a hash.
	hashRange = 1 << 64
)

// Member is a candidate for a name.
type Member struct {
	Name string
	// Size is the member's weight; it must be positive.
	Size float64
}

// Choose returns the index of the item that the name is assigned to, or -1 if
// none is eligible. A member's share of all names is its share of the sizes. When
// a member joins, leaves or changes its size, names move only to or from it.
// Members of equal size are ordered by common.RendezvousScore.
func Choose[T any](items []T, name string, member func(item T) (m Member, eligible bool)) int {
	best, bestSize, bestHash, bestCost := -1, 0.0, uint64(0), 0.0
	for i, item := range items {
		m, eligible := member(item)
		if !eligible {
			continue
		}
		hash := common.RendezvousScore(m.Name, name)
		if best >= 0 && m.Size == bestSize && hash <= bestHash {
			continue
		}
		c := cost(hash, m.Size)
		// Rounding may make costs equal, so that hashes alone order equal sizes.
		if best >= 0 && m.Size != bestSize && (c > bestCost || c == bestCost && hash <= bestHash) {
			continue
		}
		best, bestSize, bestHash, bestCost = i, m.Size, hash, c
	}
	return best
}

// cost returns -ln(u)/size for u in (0, 1), which the hash determines; it is
// exponentially distributed with a rate of size. The lowest one wins.
func cost(hash uint64, size float64) float64 {
	// The highest hashes decide between many members; 1-u is exact for them.
	rest := (float64(^hash) + 0.5) / hashRange
	return -math.Log1p(-rest) / size
}

// FillLimit returns the fill up to which items take further names.
func FillLimit[T any](items []T, fill func(item T) float64) float64 {
	sum := 0.0
	for _, item := range items {
		sum += fill(item)
	}
	return max(minFillLimit, boundedLoadFactor*(sum/float64(len(items))))
}
