package route

// finished remembers a bounded number of ended calls, the newest ones.
type finished struct {
	states map[string]RunState
	ring   []string
	next   int
}

func newFinished(size int) finished {
	return finished{states: make(map[string]RunState), ring: make([]string, size)}
}

func (f *finished) add(id string, state RunState) {
	if _, ok := f.states[id]; ok {
		f.states[id] = state
		return
	}
	delete(f.states, f.ring[f.next])
	f.ring[f.next] = id
	f.next = (f.next + 1) % len(f.ring)
	f.states[id] = state
}

func (f *finished) get(id string) (RunState, bool) {
	state, ok := f.states[id]
	return state, ok
}
