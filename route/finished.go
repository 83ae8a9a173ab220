package route

import "github.com/juju/errors"

type (
	// finished keeps the endings of the latest calls, up to a fixed number.
	finished struct {
		ends map[string]ending
		ring []string
		next int
	}

	// ending is how a call ended.
	ending struct {
		reason errors.ConstError
		state  RunState
	}
)

func newFinished(size int) finished {
	return finished{ends: make(map[string]ending), ring: make([]string, size)}
}

func (f *finished) add(id string, e ending) {
	if _, ok := f.ends[id]; ok {
		f.ends[id] = e
		return
	}
	delete(f.ends, f.ring[f.next])
	f.ring[f.next] = id
	f.next = (f.next + 1) % len(f.ring)
	f.ends[id] = e
}

func (f *finished) get(id string) (ending, bool) {
	e, ok := f.ends[id]
	return e, ok
}
