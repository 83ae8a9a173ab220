package route

// heap is a binary heap whose items know their index, so that any of them can
// be removed or moved.
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	// place sets an item's index; -1 once it is removed.
	place func(item T, index int)
}

func newHeap[T any](less func(a, b T) bool, place func(item T, index int)) *heap[T] {
	return &heap[T]{less: less, place: place}
}

func (h *heap[T]) size() int { return len(h.items) }

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(i int) T {
	item := h.items[i]
	last := len(h.items) - 1
	var zero T
	h.items[i] = h.items[last]
	h.items[last] = zero
	h.items = h.items[:last]
	if i < last {
		h.fix(i)
	}
	h.place(item, -1)
	return item
}

// fix restores the order after the item at i has changed.
func (h *heap[T]) fix(i int) {
	h.up(h.down(i))
}

func (h *heap[T]) up(i int) {
	item := h.items[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(item, h.items[parent]) {
			break
		}
		h.put(i, h.items[parent])
		i = parent
	}
	h.put(i, item)
}

func (h *heap[T]) down(i int) int {
	item := h.items[i]
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], item) {
			break
		}
		h.put(i, h.items[child])
		i = child
	}
	h.put(i, item)
	return i
}

func (h *heap[T]) put(i int, item T) {
	h.items[i] = item
	h.place(item, i)
}
