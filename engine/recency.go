package engine

// slot returns the program's place, making one as the newest. The oldest
// program makes way when the index is full.
func (x *CacheIndex) slot(program string) int32 {
	if slot, ok := x.slots[program]; ok {
		return slot
	}
	if len(x.slots) >= x.maximum {
		x.remove(x.oldest)
	}
	slot := x.allocate()
	x.entries[slot] = entry{program: program, newer: none, older: none}
	x.slots[program] = slot
	x.link(slot)
	return slot
}

// use makes the program the newest.
func (x *CacheIndex) use(slot int32) {
	if x.newest == slot {
		return
	}
	x.unlink(slot)
	x.link(slot)
}

func (x *CacheIndex) remove(slot int32) {
	e := &x.entries[slot]
	for e.count > 0 {
		x.unset(slot, e.holders[0].engine)
	}
	x.unlink(slot)
	delete(x.slots, e.program)
	*e = entry{older: x.free}
	x.free = slot
}

func (x *CacheIndex) allocate() int32 {
	if x.free == none {
		x.entries = append(x.entries, entry{})
		return int32(len(x.entries) - 1)
	}
	slot := x.free
	x.free = x.entries[slot].older
	return slot
}

func (x *CacheIndex) link(slot int32) {
	x.entries[slot].older = x.newest
	x.entries[slot].newer = none
	if x.newest != none {
		x.entries[x.newest].newer = slot
	}
	x.newest = slot
	if x.oldest == none {
		x.oldest = slot
	}
}

func (x *CacheIndex) unlink(slot int32) {
	e := x.entries[slot]
	if e.newer != none {
		x.entries[e.newer].older = e.older
	} else {
		x.newest = e.older
	}
	if e.older != none {
		x.entries[e.older].newer = e.newer
	} else {
		x.oldest = e.newer
	}
}
