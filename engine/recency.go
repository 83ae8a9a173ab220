package engine

// ensureSlot returns the program's slot. It adds a missing program as the most
// recently used one; a full index evicts the least recently used program.
func (x *CacheIndex) ensureSlot(program string) int32 {
	if slot, ok := x.slots[program]; ok {
		return slot
	}
	if len(x.slots) >= x.maxPrograms {
		x.remove(x.oldest)
	}
	slot := x.allocate()
	x.entries[slot] = entry{program: program, newer: noSlot, older: noSlot}
	x.slots[program] = slot
	x.link(slot)
	return slot
}

// touch marks the program as the most recently used one.
func (x *CacheIndex) touch(slot int32) {
	if x.newest == slot {
		return
	}
	x.unlink(slot)
	x.link(slot)
}

func (x *CacheIndex) remove(slot int32) {
	e := &x.entries[slot]
	for e.count > 0 {
		x.removeHolder(slot, e.holders[0].engine)
	}
	x.unlink(slot)
	delete(x.slots, e.program)
	*e = entry{older: x.firstFree}
	x.firstFree = slot
}

func (x *CacheIndex) allocate() int32 {
	if x.firstFree == noSlot {
		x.entries = append(x.entries, entry{})
		return int32(len(x.entries) - 1)
	}
	slot := x.firstFree
	x.firstFree = x.entries[slot].older
	return slot
}

func (x *CacheIndex) link(slot int32) {
	x.entries[slot].older = x.newest
	x.entries[slot].newer = noSlot
	if x.newest != noSlot {
		x.entries[x.newest].newer = slot
	}
	x.newest = slot
	if x.oldest == noSlot {
		x.oldest = slot
	}
}

func (x *CacheIndex) unlink(slot int32) {
	e := x.entries[slot]
	if e.newer != noSlot {
		x.entries[e.newer].older = e.older
	} else {
		x.newest = e.older
	}
	if e.older != noSlot {
		x.entries[e.older].newer = e.newer
	} else {
		x.oldest = e.newer
	}
}
