package fleet

// authorities is an unchanging table of the shards that have authority.
type authorityTable struct {
	// places holds each shard's place in rows, plus one; zero means none.
	index   [ShardCount]uint16
	entries []Authority
}

// of returns the authority of a shard.
func (t *authorityTable) lookup(s Shard) Authority {
	place := t.index[s]
	if place == 0 {
		return Authority{}
	}
	return t.entries[place-1]
}

// snapshot copies the book's authority.
func (b *Delegations) snapshot() *authorityTable {
	t := &authorityTable{}
	for s := range b.authority {
		if b.authority[s].Seats > 0 {
			t.entries = append(t.entries, b.authority[s])
			t.index[s] = uint16(len(t.entries))
		}
	}
	return t
}
