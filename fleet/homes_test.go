package fleet

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func testMembers(n int) []*member {
	members := make([]*member, 0, n)
	for i := range n {
		name := fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250)
		m := &member{hash: hashName(name), fit: true}
		m.instance.Name = name
		members = append(members, m)
	}
	return members
}

// naiveHome computes the home of one shard by rendezvous hashing.
func naiveHome(members []*member, s Shard) int16 {
	best := int16(noHome)
	for i, m := range members {
		if !m.fit {
			continue
		}
		score := mix(m.hash ^ (uint64(s)+1)*shardSalt)
		if best == noHome || score > mix(members[best].hash^(uint64(s)+1)*shardSalt) {
			best = int16(i)
		}
	}
	return best
}

// TestHomesChurn checks that the loss of a member moves only its own shards.
func TestHomesChurn(t *testing.T) {
	for _, n := range []int{3, 12, 100, 340} {
		members := testMembers(n)
		before := rendezvous(members)
		for removed := range members {
			members[removed].fit = false
			after := rendezvous(members)
			members[removed].fit = true
			for s := range before {
				assert.Equal(t, after[s] == noHome, false)
				if int(before[s]) != removed {
					assert.Equal(t, after[s], before[s], "shard %d moved although its home is still fit", s)
				}
			}
			assert.Equal(t, after[removed%ShardCount], naiveHome(without(members, removed), Shard(removed%ShardCount)))
		}
	}
}

func without(members []*member, removed int) []*member {
	out := make([]*member, 0, len(members))
	for i, m := range members {
		c := *m
		c.fit = i != removed
		out = append(out, &c)
	}
	return out
}

// TestHomesAreBalanced checks that no member gets more than three times its fair
// share of the shards.
func TestHomesAreBalanced(t *testing.T) {
	var count [12]int
	for _, i := range rendezvous(testMembers(12)) {
		count[i]++
	}
	for _, c := range count {
		assert.Assert(t, c > 0 && c <= 3*ShardCount/12, "%v", count)
	}
}
