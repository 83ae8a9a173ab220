package share

import "time"

// windowSlots is the number of slots of a sliding window. A slot counts until all
// of it is older than the window, so up to 1/windowSlots of the limit is unused.
const windowSlots = 100

// window is a sliding-window counter of the tokens that a bucket gave out.
type window struct {
	slots [windowSlots + 1]float32
	// last is the number of the newest slot, counted from the clock's epoch.
	last int64
	sum  float64
}

// add counts tokens in the newest slot.
func (w *window) add(tokens float64) {
	w.slots[w.last%int64(len(w.slots))] += float32(tokens)
	w.sum += tokens
}

// advance drops the slots that are older than the span.
func (w *window) advance(now, span time.Duration) {
	current := int64(now / (span / windowSlots))
	if current-w.last >= int64(len(w.slots)) {
		*w = window{last: current}
		return
	}
	for w.last < current {
		w.last++
		slot := &w.slots[w.last%int64(len(w.slots))]
		w.sum -= float64(*slot)
		*slot = 0
	}
}
