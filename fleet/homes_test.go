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

// naiveHome is rendezvous hashing one shard at a time.
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

func TestHomesChurn(t *testing.T) {
	for _, n := range []int{3, 12, 100, 340} {
		members := testMembers(n)
		before := rendezvous(members)
		for gone := range members {
			members[gone].fit = false
			after := rendezvous(members)
			members[gone].fit = true
			for s := range before {
				assert.Equal(t, after[s] == noHome, false)
				if int(before[s]) != gone {
					assert.Equal(t, after[s], before[s], "shard %d moved although its home stayed", s)
				}
			}
			assert.Equal(t, after[gone%ShardCount], naiveHome(without(members, gone), Shard(gone%ShardCount)))
		}
	}
}

func without(members []*member, gone int) []*member {
	out := make([]*member, 0, len(members))
	for i, m := range members {
		c := *m
		c.fit = i != gone
		out = append(out, &c)
	}
	return out
}

func TestHomesAreSpread(t *testing.T) {
	var count [12]int
	for _, i := range rendezvous(testMembers(12)) {
		count[i]++
	}
	for _, c := range count {
		assert.Assert(t, c > 0 && c <= 3*ShardCount/12, "%v", count)
	}
}
