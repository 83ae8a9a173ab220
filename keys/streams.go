package keys

import "sync"

type (
	// StreamRegistry tracks the open streams by the key that they were opened with, and
	// cancels them when the key is withdrawn. It is safe for concurrent use.
	StreamRegistry struct {
		mu      sync.Mutex
		nextID  uint64
		streams map[Hash]map[uint64]func()
		// withdrawn holds the keys withdrawn since the start, so that streams that
		// register after the withdrawal are refused.
		withdrawn map[Hash]struct{}
	}
)

// NewStreamRegistry returns an empty registry.
func NewStreamRegistry() *StreamRegistry {
	return &StreamRegistry{streams: make(map[Hash]map[uint64]func()), withdrawn: make(map[Hash]struct{})}
}

// Register adds an open stream and returns an idempotent function that removes
// it. If the key was withdrawn between its check and this call, it returns
// ErrWithdrawn and never calls cancel. The function cancel is called at most once
// and must not block.
func (w *StreamRegistry) Register(key Hash, cancel func()) (release func(), err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, withdrawn := w.withdrawn[key]; withdrawn {
		return nil, ErrWithdrawn
	}
	w.nextID++
	id := w.nextID
	if w.streams[key] == nil {
		w.streams[key] = make(map[uint64]func())
	}
	w.streams[key][id] = cancel
	return func() { w.release(key, id) }, nil
}

func (w *StreamRegistry) release(key Hash, id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.streams[key], id)
	if len(w.streams[key]) == 0 {
		delete(w.streams, key)
	}
}

// Cancel cancels the streams of withdrawn keys and returns their number.
func (w *StreamRegistry) Cancel(keys []Hash) int {
	cancels := w.removeStreams(keys)
	for _, cancel := range cancels {
		cancel()
	}
	return len(cancels)
}

// removeStreams marks the keys as withdrawn, removes their streams and returns
// the streams' cancel functions.
func (w *StreamRegistry) removeStreams(keys []Hash) []func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var cancels []func()
	for _, key := range keys {
		w.withdrawn[key] = struct{}{}
		for _, cancel := range w.streams[key] {
			cancels = append(cancels, cancel)
		}
		delete(w.streams, key)
	}
	return cancels
}

// CancelAll cancels all streams and returns their number, for use once the keys are
// no longer fresh. New streams can still register.
func (w *StreamRegistry) CancelAll() int {
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

// Len returns the number of open streams.
func (w *StreamRegistry) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, streams := range w.streams {
		n += len(streams)
	}
	return n
}
