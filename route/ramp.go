package route

// successesPerStep is how many successes add one slot.
const successesPerStep = 2

// ramp is an upstream's slow start: it limits the calls in flight. It covers
// the whole fleet, since one pool admits all calls of the service.
type ramp struct {
	coldSlots int
	slots     int
	allowance int
	successes int
	// generation counts the resets; successes of older generations don't count.
	generation int64
}

func newRamp(cold, slots int) ramp {
	slots = max(slots, 1)
	cold = min(max(cold, 1), slots)
	return ramp{coldSlots: cold, slots: slots, allowance: cold}
}

// warm reports whether the slow start is complete.
func (r *ramp) warm() bool { return r.allowance >= r.slots }

// reset restarts from the cold allowance.
func (r *ramp) reset() {
	r.allowance = r.coldSlots
	r.successes = 0
	r.generation++
}

// recordSuccess counts a success of an attempt that began in the generation.
func (r *ramp) recordSuccess(generation int64) {
	if generation != r.generation || r.warm() {
		return
	}
	r.successes++
	if r.successes < successesPerStep {
		return
	}
	r.successes = 0
	r.allowance++
}

// resize applies new limits without raising the allowance.
func (r *ramp) resize(cold, slots int) {
	warm := r.warm()
	r.slots = max(slots, 1)
	r.coldSlots = min(max(cold, 1), r.slots)
	if !warm {
		r.allowance = min(max(r.allowance, r.coldSlots), r.slots)
		return
	}
	r.allowance = min(r.allowance, r.slots)
}
