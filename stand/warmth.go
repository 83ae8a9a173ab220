package stand

// warmth is how much work a freshly started engine can bear: its cold slots
// and one more for each call that it has completed since.
type warmth struct {
	cold      bool
	coldSlots int
	completed int
	slots     int
}

func (w *warmth) turnCold() {
	w.cold = true
	w.completed = 0
}

func (w *warmth) complete() {
	w.completed++
	if w.bearable() >= w.slots {
		w.cold = false
	}
}

func (w *warmth) bearable() int {
	return w.coldSlots + w.completed
}
