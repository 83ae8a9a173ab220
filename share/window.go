package share

import "time"

const (
	// windowSlots is the number of slots of a sliding window. A slot counts until
	// all of it is older than the window, so up to 1/windowSlots of the limit is
	// unused.
	windowSlots = 100
	// aheadSlots is the number of slots for tokens that were promised but are not
	// in use yet.
	aheadSlots = 20
)

// window is a sliding-window counter of the tokens that a bucket gave out.
type window struct {
	slots [windowSlots + 1 + aheadSlots]float32
	// last is the number of the newest slot, counted from the clock's epoch.
	last int64
	sum  float64
}

// add counts tokens in the newest slot.
func (w *window) add(tokens float64) { w.addSlot(w.last, tokens) }

// addAhead counts tokens from now on that are used after the wait, so that they
// leave the window as late as requests do.
func (w *window) addAhead(tokens float64, wait, span time.Duration) {
	ahead := int64(0)
	if span > 0 {
		ahead = min(int64(wait/(span/windowSlots)), aheadSlots)
	}
	w.addSlot(w.last+ahead, tokens)
}

func (w *window) addSlot(slot int64, tokens float64) {
	*w.slot(slot) += float32(tokens)
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
		expired := w.slot(w.last - windowSlots - 1 + int64(len(w.slots)))
		w.sum -= float64(*expired)
		*expired = 0
	}
}

func (w *window) slot(number int64) *float32 { return &w.slots[number%int64(len(w.slots))] }
