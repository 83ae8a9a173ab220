package engine

import (
	"math"
	"time"
)

const (
	// MaxHolders bounds how many engines are tracked per program.
	MaxHolders = 3
	// EventLag bounds the delay of events and lists. An eviction is ignored for
	// a prefix that was used within this time.
	EventLag = 3 * time.Second

	noSlot = -1
)

type (
	// Holding is a program's prefix in one engine's cache.
	Holding struct {
		Engine string
		Tokens int
	}

	// CacheIndex tracks which engines hold which programs' prefixes. It merges
	// delayed events with gaps, complete lists and the calls that this instance
	// observes. It is an LRU cache of a bounded number of programs. It is not
	// safe for concurrent use.
	CacheIndex struct {
		maxPrograms int
		start       time.Time
		slots       map[string]int32
		entries     []entry
		firstFree   int32
		newest      int32
		oldest      int32
		engines     []engineState
		names       map[string]uint16
	}

	// entry is one program's holders and its links in the LRU list.
	entry struct {
		program string
		newer   int32
		older   int32
		count   uint8
		holders [MaxHolders]holder
	}

	// holder is the program's prefix on one engine.
	holder struct {
		tokens uint32
		// lastUsed is when the prefix was last used, in milliseconds since start;
		// zero if no use was observed.
		lastUsed uint32
		engine   uint16
	}

	engineState struct {
		name     string
		sequence int64
		tokens   int64
		// synced is set while the index reflects all events up to sequence.
		synced bool
	}
)

// NewCacheIndex returns an index of at most maxPrograms programs.
func NewCacheIndex(maxPrograms int) *CacheIndex {
	return &CacheIndex{
		maxPrograms: max(maxPrograms, 1),
		slots:       make(map[string]int32),
		firstFree:   noSlot,
		newest:      noSlot,
		oldest:      noSlot,
		names:       make(map[string]uint16),
	}
}

// Len returns the number of indexed programs.
func (x *CacheIndex) Len() int { return len(x.slots) }

// Tokens returns the length of the program's prefix on the engine.
func (x *CacheIndex) Tokens(engine, program string) int {
	slot, ok := x.slots[program]
	if !ok {
		return 0
	}
	e := &x.entries[slot]
	for i := range e.count {
		if x.engines[e.holders[i].engine].name == engine {
			return int(e.holders[i].tokens)
		}
	}
	return 0
}

// Holders appends the engines that hold a prefix of the program to out.
func (x *CacheIndex) Holders(program string, out []Holding) []Holding {
	slot, ok := x.slots[program]
	if !ok {
		return out
	}
	e := &x.entries[slot]
	for i := range e.count {
		h := e.holders[i]
		out = append(out, Holding{Engine: x.engines[h.engine].name, Tokens: int(h.tokens)})
	}
	return out
}

// HeldTokens returns the total length of the engine's indexed prefixes in tokens.
func (x *CacheIndex) HeldTokens(engine string) int64 {
	id, ok := x.names[engine]
	if !ok {
		return 0
	}
	return x.engines[id].tokens
}

// Observe records that the engine has just run a call of the program and holds
// its prefix.
func (x *CacheIndex) Observe(engine, program string, tokens int, now time.Time) {
	slot := x.ensureSlot(program)
	x.touch(slot)
	x.setHolder(slot, x.engineID(engine), tokens, x.timestamp(now))
}

// Apply applies a page of the engine's events. It returns true if events are
// missing, so that the complete list must be fetched.
func (x *CacheIndex) Apply(engine string, page CacheEvents, now time.Time) bool {
	id := x.engineID(engine)
	gap := !x.engines[id].synced
	for _, event := range page.Events {
		last := x.engines[id].sequence
		if event.Sequence <= last {
			continue
		}
		gap = gap || event.Sequence != last+1
		x.engines[id].sequence = event.Sequence
		x.applyEvent(id, event, now)
	}
	if gap {
		x.engines[id].synced = false
	}
	return gap
}

// Sequence returns the number of the engine's last applied event.
func (x *CacheIndex) Sequence(engine string) int64 {
	return x.engines[x.engineID(engine)].sequence
}

// Replace applies the engine's complete list. A list that is older than the
// applied events only adds prefixes and removes none; a list without a sequence
// number counts as current.
func (x *CacheIndex) Replace(engine string, list CacheList, now time.Time) {
	id := x.engineID(engine)
	if list.Sequence == 0 || list.Sequence >= x.engines[id].sequence {
		x.retainListed(id, list.Entries, now)
		x.engines[id].sequence = max(list.Sequence, x.engines[id].sequence)
		x.engines[id].synced = true
	}
	for _, e := range list.Entries {
		slot := x.ensureSlot(e.Program)
		x.setHolder(slot, id, max(e.Tokens, x.recentTokens(slot, id, now)), 0)
	}
}

// Drop removes all of the engine's prefixes, as after its restart.
func (x *CacheIndex) Drop(engine string) {
	id, ok := x.names[engine]
	if !ok {
		return
	}
	for _, slot := range x.slots {
		x.removeHolder(slot, id)
	}
	x.engines[id] = engineState{name: engine}
	x.removeEmpty()
}

// Release removes the program's prefix on the engine.
func (x *CacheIndex) Release(engine, program string) {
	slot, ok := x.slots[program]
	if !ok {
		return
	}
	x.removeHolder(slot, x.engineID(engine))
	if x.entries[slot].count == 0 {
		x.remove(slot)
	}
}

func (x *CacheIndex) applyEvent(id uint16, event CacheEvent, now time.Time) {
	if event.Kind == EventStored {
		slot := x.ensureSlot(event.Program)
		x.setHolder(slot, id, max(event.Tokens, x.recentTokens(slot, id, now)), 0)
		return
	}
	slot, ok := x.slots[event.Program]
	if !ok || x.recentTokens(slot, id, now) > 0 {
		return
	}
	x.removeHolder(slot, id)
	if x.entries[slot].count == 0 {
		x.remove(slot)
	}
}

// retainListed removes the engine's prefixes that are neither listed nor
// recently used.
func (x *CacheIndex) retainListed(id uint16, entries []CacheEntry, now time.Time) {
	listed := make(map[string]struct{}, len(entries))
	for _, e := range entries {
		listed[e.Program] = struct{}{}
	}
	for program, slot := range x.slots {
		if _, ok := listed[program]; !ok && x.recentTokens(slot, id, now) == 0 {
			x.removeHolder(slot, id)
		}
	}
	x.removeEmpty()
}

func (x *CacheIndex) removeEmpty() {
	for _, slot := range x.slots {
		if x.entries[slot].count == 0 {
			x.remove(slot)
		}
	}
}

// recentTokens returns the length of the engine's prefix if it was used within
// EventLag, else zero.
func (x *CacheIndex) recentTokens(slot int32, id uint16, now time.Time) int {
	e := &x.entries[slot]
	for i := range e.count {
		h := e.holders[i]
		if h.engine == id && h.lastUsed > 0 && x.timestamp(now)-h.lastUsed <= uint32(EventLag/time.Millisecond) {
			return int(h.tokens)
		}
	}
	return 0
}

// timestamp converts a time to milliseconds since the first one that the index
// saw, at least 1.
func (x *CacheIndex) timestamp(now time.Time) uint32 {
	if x.start.IsZero() {
		x.start = now
	}
	return uint32(max(now.Sub(x.start).Milliseconds(), 0)) + 1
}

func (x *CacheIndex) engineID(name string) uint16 {
	id, ok := x.names[name]
	if ok {
		return id
	}
	id = uint16(len(x.engines))
	x.engines = append(x.engines, engineState{name: name})
	x.names[name] = id
	return id
}

// setHolder sets the engine's prefix length; a lastUsed of zero keeps the time
// of the last use.
func (x *CacheIndex) setHolder(slot int32, id uint16, tokens int, lastUsed uint32) {
	e := &x.entries[slot]
	h := x.ensureHolder(e, id)
	x.engines[id].tokens += int64(tokens) - int64(h.tokens)
	h.tokens = uint32(min(max(tokens, 0), math.MaxUint32))
	if lastUsed > 0 {
		h.lastUsed = lastUsed
	}
}

// ensureHolder returns the engine's holder in the entry, adding it if needed.
// A full entry evicts its shortest prefix.
func (x *CacheIndex) ensureHolder(e *entry, id uint16) *holder {
	shortest := &e.holders[0]
	for i := range e.count {
		h := &e.holders[i]
		if h.engine == id {
			return h
		}
		if h.tokens < shortest.tokens {
			shortest = h
		}
	}
	if int(e.count) < MaxHolders {
		shortest = &e.holders[e.count]
		e.count++
	} else {
		x.engines[shortest.engine].tokens -= int64(shortest.tokens)
	}
	*shortest = holder{engine: id}
	return shortest
}

func (x *CacheIndex) removeHolder(slot int32, id uint16) {
	e := &x.entries[slot]
	for i := range e.count {
		if e.holders[i].engine != id {
			continue
		}
		x.engines[id].tokens -= int64(e.holders[i].tokens)
		e.count--
		e.holders[i] = e.holders[e.count]
		e.holders[e.count] = holder{}
		return
	}
}
