package route

// successesPerStep is how many successes open one more slot.
const successesPerStep = 2

// ramp is an upstream's slow start: how many calls may be in flight. It counts
// over the whole fleet, since one pool admits all calls of the service.
type ramp struct {
	cold      int
	slots     int
	allowance int
	successes int
	// generation counts the resets; a success of an older one doesn't count.
	generation int64
}

func newRamp(cold, slots int) ramp {
	slots = max(slots, 1)
	cold = min(max(cold, 1), slots)
	return ramp{cold: cold, slots: slots, allowance: cold}
}

// warm says that the slow start is over.
func (r *ramp) warm() bool { return r.allowance >= r.slots }

// reset starts again from the cold allowance.
func (r *ramp) reset() {
	r.allowance = r.cold
	r.successes = 0
	r.generation++
}

// succeed counts a success of an attempt that began in the generation.
func (r *ramp) succeed(generation int64) {
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

// resize takes new limits over without a step up.
func (r *ramp) resize(cold, slots int) {
	warm := r.warm()
	r.slots = max(slots, 1)
	r.cold = min(max(cold, 1), r.slots)
	if !warm {
		r.allowance = min(max(r.allowance, r.cold), r.slots)
		return
	}
	r.allowance = min(r.allowance, r.slots)
}
