package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// sortedFirst returns the first call in the expected order, by comparing all of
// them.
func sortedFirst(waiting []*entry) *entry {
	if len(waiting) == 0 {
		return nil
	}
	return slices.MinFunc(waiting, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(a.team.virtualTime, b.team.virtualTime),
			strings.Compare(a.team.name, b.team.name),
			a.key.Compare(b.key),
			strings.Compare(a.ID, b.ID),
		)
	})
}

// TestFairQueueAgainstSorting compares the queue with a sorted list while calls
// are added and removed and teams are charged.
func TestFairQueueAgainstSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newFairQueue(nil)
		teams := make([]*team, 0, 4)
		for i := range 4 {
			teams = append(teams, &team{name: fmt.Sprintf("t%d", i), weight: float64(i + 1)})
		}
		var waiting []*entry
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				e := &entry{Call: Call{ID: fmt.Sprintf("c%d", i)}, team: rapid.SampledFrom(teams).Draw(t, "team")}
				e.key = time.Unix(int64(rapid.IntRange(0, 10).Draw(t, "key")), 0)
				q.push(e)
				waiting = append(waiting, e)
			case 2:
				rapid.SampledFrom(teams).Draw(t, "charged").charge(1)
			default:
				if len(waiting) == 0 {
					continue
				}
				j := rapid.IntRange(0, len(waiting)-1).Draw(t, "removed")
				q.remove(waiting[j])
				waiting = slices.Delete(waiting, j, j+1)
			}
			assert.Assert(t, q.peek() == sortedFirst(waiting))
			assert.Equal(t, q.size, len(waiting))
		}
	})
}
