package engine

import (
	"math"
	"time"
)

const (
	// MaxHolders is how many engines are remembered for one program.
	MaxHolders = 3
	// EventLag is how late events and lists may be. An eviction is not believed
	// of a prefix that was seen in use within it.
	EventLag = 3 * time.Second

	none = -1
)

type (
	// Holding says that an engine holds a prefix of a program.
	Holding struct {
		Engine string
		Tokens int
	}

	// CacheIndex knows which engines hold which program's prefix, from late
	// events with gaps, whole lists and own observations. The number of
	// programs is bounded: the one unused for longest goes first. It is not safe
	// for concurrent use.
	CacheIndex struct {
		maximum int
		start   time.Time
		slots   map[string]int32
		entries []entry
		free    int32
		newest  int32
		oldest  int32
		engines []engineState
		names   map[string]uint16
	}

	// entry is one program's holders, linked by recency of use.
	entry struct {
		program string
		newer   int32
		older   int32
		count   uint8
		holders [MaxHolders]holder
	}

	// holder is one engine's prefix.
	holder struct {
		tokens uint32
		// seen is when the prefix was last in use, in milliseconds from start.
		seen   uint32
		engine uint16
	}

	engineState struct {
		name     string
		sequence int64
		tokens   int64
		listed   bool
	}
)

// NewCacheIndex returns an index of at most maximum programs.
func NewCacheIndex(maximum int) *CacheIndex {
	return &CacheIndex{
		maximum: max(maximum, 1),
		slots:   make(map[string]int32),
		free:    none,
		newest:  none,
		oldest:  none,
		names:   make(map[string]uint16),
	}
}

// Len returns the number of programs.
func (x *CacheIndex) Len() int { return len(x.slots) }

// Tokens returns how long a prefix of the program the engine holds.
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

// Held returns how many tokens the engine is known to hold.
func (x *CacheIndex) Held(engine string) int64 {
	id, ok := x.names[engine]
	if !ok {
		return 0
	}
	return x.engines[id].tokens
}

// Observe notes that the engine has just run a call of the program and holds
// its prefix.
func (x *CacheIndex) Observe(engine, program string, tokens int, now time.Time) {
	slot := x.slot(program)
	x.use(slot)
	x.set(slot, x.engine(engine), tokens, x.stamp(now))
}

// Apply notes a page of events of the engine. It returns true if a gap makes
// the engine's whole list needed; the events count all the same.
func (x *CacheIndex) Apply(engine string, page CacheEvents, now time.Time) bool {
	id := x.engine(engine)
	gap := !x.engines[id].listed
	for _, event := range page.Events {
		last := x.engines[id].sequence
		if event.Sequence <= last {
			continue
		}
		gap = gap || event.Sequence != last+1
		x.engines[id].sequence = event.Sequence
		x.apply(id, event, now)
	}
	if gap {
		x.engines[id].listed = false
	}
	return gap
}

// Sequence returns the last event that is known of the engine.
func (x *CacheIndex) Sequence(engine string) int64 {
	return x.engines[x.engine(engine)].sequence
}

// Replace notes the engine's whole list. A list that is older than the events
// that are known is only good for what it adds; one without a sequence number
// counts as new.
func (x *CacheIndex) Replace(engine string, list CacheList, now time.Time) {
	id := x.engine(engine)
	if list.Sequence == 0 || list.Sequence >= x.engines[id].sequence {
		x.retain(id, list.Entries, now)
		x.engines[id].sequence = max(list.Sequence, x.engines[id].sequence)
		x.engines[id].listed = true
	}
	for _, e := range list.Entries {
		slot := x.slot(e.Program)
		x.set(slot, id, max(e.Tokens, x.recent(slot, id, now)), 0)
	}
}

// Drop forgets all that the engine held, as after its restart.
func (x *CacheIndex) Drop(engine string) {
	id, ok := x.names[engine]
	if !ok {
		return
	}
	for _, slot := range x.slots {
		x.unset(slot, id)
	}
	x.engines[id] = engineState{name: engine}
	x.removeEmpty()
}

// Release forgets that the engine holds the program's prefix.
func (x *CacheIndex) Release(engine, program string) {
	slot, ok := x.slots[program]
	if !ok {
		return
	}
	x.unset(slot, x.engine(engine))
	if x.entries[slot].count == 0 {
		x.remove(slot)
	}
}

func (x *CacheIndex) apply(id uint16, event CacheEvent, now time.Time) {
	if event.Kind == EventStored {
		slot := x.slot(event.Program)
		x.set(slot, id, max(event.Tokens, x.recent(slot, id, now)), 0)
		return
	}
	slot, ok := x.slots[event.Program]
	if !ok || x.recent(slot, id, now) > 0 {
		return
	}
	x.unset(slot, id)
	if x.entries[slot].count == 0 {
		x.remove(slot)
	}
}

// retain drops the engine's holdings that are neither listed nor recent.
func (x *CacheIndex) retain(id uint16, entries []CacheEntry, now time.Time) {
	listed := make(map[string]struct{}, len(entries))
	for _, e := range entries {
		listed[e.Program] = struct{}{}
	}
	for program, slot := range x.slots {
		if _, ok := listed[program]; !ok && x.recent(slot, id, now) == 0 {
			x.unset(slot, id)
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

// recent returns the tokens of a prefix that was in use within EventLag.
func (x *CacheIndex) recent(slot int32, id uint16, now time.Time) int {
	e := &x.entries[slot]
	for i := range e.count {
		h := e.holders[i]
		if h.engine == id && h.seen > 0 && x.stamp(now)-h.seen <= uint32(EventLag/time.Millisecond) {
			return int(h.tokens)
		}
	}
	return 0
}

// stamp turns a time into milliseconds from the index's first one, at least 1.
func (x *CacheIndex) stamp(now time.Time) uint32 {
	if x.start.IsZero() {
		x.start = now
	}
	return uint32(max(now.Sub(x.start).Milliseconds(), 0)) + 1
}

func (x *CacheIndex) engine(name string) uint16 {
	id, ok := x.names[name]
	if ok {
		return id
	}
	id = uint16(len(x.engines))
	x.engines = append(x.engines, engineState{name: name})
	x.names[name] = id
	return id
}

// set writes a holder; a seen of zero keeps the time of the last use.
func (x *CacheIndex) set(slot int32, id uint16, tokens int, seen uint32) {
	e := &x.entries[slot]
	h := x.holder(e, id)
	x.engines[id].tokens += int64(tokens) - int64(h.tokens)
	h.tokens = uint32(min(max(tokens, 0), math.MaxUint32))
	if seen > 0 {
		h.seen = seen
	}
}

// holder returns the engine's place in the entry. A full entry gives up its
// shortest prefix.
func (x *CacheIndex) holder(e *entry, id uint16) *holder {
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

func (x *CacheIndex) unset(slot int32, id uint16) {
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
