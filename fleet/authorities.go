package fleet

// authorityTable is an immutable snapshot of the shards that have authority.
type authorityTable struct {
	// index holds each shard's index into entries plus one; zero means none.
	index   [ShardCount]uint16
	entries []Authority
}

// lookup returns the authority over a shard, which may have expired.
func (t *authorityTable) lookup(s Shard) Authority {
	i := t.index[s]
	if i == 0 {
		return Authority{}
	}
	return t.entries[i-1]
}

func (b *Delegations) snapshot() *authorityTable {
	t := &authorityTable{}
	for s := range b.authority {
		if b.authority[s].Slots > 0 {
			t.entries = append(t.entries, b.authority[s])
			t.index[s] = uint16(len(t.entries))
		}
	}
	return t
}
