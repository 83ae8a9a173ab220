package proxy

import "sync"

// outputs bounds the memory of the outputs that turns in progress keep, since an
// upstream may send events without end to many of them at once.
type outputs struct {
	mu    sync.Mutex
	used  int
	turns int
}

// begin adds a turn; end must be called.
func (o *outputs) begin() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.turns++
}

// grow reports whether a turn that keeps the given bytes may keep more: while others leave
// room, or up to an equal share.
func (o *outputs) grow(kept, more, limit int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.used+more > limit && (kept+more)*o.turns > limit {
		return false
	}
	o.used += more
	return true
}

func (o *outputs) end(kept int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.used -= kept
	o.turns--
}
