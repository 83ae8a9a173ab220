package fleet

import "github.com/cespare/xxhash/v2"

const (
	// shardSalt distributes the shard numbers over 64 bits.
	shardSalt    = 0x9e3779b97f4a7c15
	splitmixMul1 = 0xbf58476d1ce4e5b9
	splitmixMul2 = 0x94d049bb133111eb
	// noHome marks a shard without a home.
	noHome = -1
)

// homeTable holds the home of each shard as an index into the members.
type homeTable [ShardCount]int16

// rendezvous assigns each shard to the fit member with the highest score, so
// that a member that joins or leaves moves only its own shards.
func rendezvous(members []*member) *homeTable {
	h := &homeTable{}
	var best [ShardCount]uint64
	for s := range h {
		h[s] = noHome
	}
	for i, m := range members {
		if !m.fit {
			continue
		}
		for s := range h {
			score := mix(m.hash ^ uint64(s+1)*shardSalt)
			if h[s] == noHome || score > best[s] {
				h[s] = int16(i)
				best[s] = score
			}
		}
	}
	return h
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * splitmixMul1
	x = (x ^ x>>27) * splitmixMul2
	return x ^ x>>31
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }
