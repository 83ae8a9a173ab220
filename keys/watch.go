package keys

import "sync"

type (
	// Watch knows the open streams by the key that they were opened with, and
	// ends them when the key is withdrawn. It may be used by several at once.
	Watch struct {
		mu      sync.Mutex
		next    uint64
		streams map[Hash]map[uint64]func()
		// cut are the keys withdrawn since the start, so that a stream that
		// registers late is refused.
		cut map[Hash]struct{}
	}
)

// NewWatch returns a registry without streams.
func NewWatch() *Watch {
	return &Watch{streams: make(map[Hash]map[uint64]func()), cut: make(map[Hash]struct{})}
}

// Register notes an open stream and returns a function that takes it out
// again, which may be called twice. It returns ErrWithdrawn, and calls nothing,
// if the key was cut between its check and this call. The function cancel is
// called at most once and must not block.
func (w *Watch) Register(key Hash, cancel func()) (release func(), err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, gone := w.cut[key]; gone {
		return nil, ErrWithdrawn
	}
	w.next++
	id := w.next
	if w.streams[key] == nil {
		w.streams[key] = make(map[uint64]func())
	}
	w.streams[key][id] = cancel
	return func() { w.release(key, id) }, nil
}

func (w *Watch) release(key Hash, id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.streams[key], id)
	if len(w.streams[key]) == 0 {
		delete(w.streams, key)
	}
}

// Cut ends the streams of withdrawn keys and returns how many there were.
func (w *Watch) Cut(keys []Hash) int {
	cancels := w.take(keys)
	for _, cancel := range cancels {
		cancel()
	}
	return len(cancels)
}

// take removes the streams of the keys and returns how to cancel them.
func (w *Watch) take(keys []Hash) []func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var cancels []func()
	for _, key := range keys {
		w.cut[key] = struct{}{}
		for _, cancel := range w.streams[key] {
			cancels = append(cancels, cancel)
		}
		delete(w.streams, key)
	}
	return cancels
}

// CutAll ends every stream, as an instance must whose keys are no longer
// fresh, and returns how many there were. Later streams may register.
func (w *Watch) CutAll() int {
	w.mu.Lock()
	var cancels []func()
	for _, streams := range w.streams {
		for _, cancel := range streams {
			cancels = append(cancels, cancel)
		}
	}
	clear(w.streams)
	w.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
	return len(cancels)
}

// Len returns how many streams are open.
func (w *Watch) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, streams := range w.streams {
		n += len(streams)
	}
	return n
}
