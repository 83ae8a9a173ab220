package fleet

// authorities is an unchanging table of the shards that have authority.
type authorities struct {
	// places holds each shard's place in rows, plus one; zero means none.
	places [ShardCount]uint16
	rows   []Authority
}

// of returns the authority of a shard.
func (t *authorities) of(s Shard) Authority {
	place := t.places[s]
	if place == 0 {
		return Authority{}
	}
	return t.rows[place-1]
}

// snapshot copies the book's authority.
func (b *Book) snapshot() *authorities {
	t := &authorities{}
	for s := range b.authority {
		if b.authority[s].Seats > 0 {
			t.rows = append(t.rows, b.authority[s])
			t.places[s] = uint16(len(t.rows))
		}
	}
	return t
}
