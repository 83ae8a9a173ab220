package stand

import "container/heap"

type (
	// slotQueue hands out an engine's slots by priority, then by arrival.
	slotQueue struct {
		free    int
		waiting waiterHeap
		arrival int64
	}

	// slotWaiter is one call that waits for a slot.
	slotWaiter struct {
		priority int
		arrival  int64
		index    int
		queue    *slotQueue
		granted  chan struct{}
	}

	waiterHeap []*slotWaiter
)

// enter returns a waiter whose channel is closed once it has a slot.
func (q *slotQueue) enter(priority int) *slotWaiter {
	q.arrival++
	w := &slotWaiter{priority: priority, arrival: q.arrival, queue: q, granted: make(chan struct{})}
	heap.Push(&q.waiting, w)
	q.grant()
	return w
}

// leave gives up the place of a waiter, or its slot if it has one.
func (q *slotQueue) leave(w *slotWaiter) {
	if w.index >= 0 {
		heap.Remove(&q.waiting, w.index)
		return
	}
	q.free++
	q.grant()
}

func (q *slotQueue) grant() {
	for q.free > 0 && len(q.waiting) > 0 {
		w := heap.Pop(&q.waiting).(*slotWaiter)
		q.free--
		close(w.granted)
	}
}

// Len, Less, Swap, Push and Pop are heap.Interface.
func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].arrival < h[j].arrival
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push adds a waiter at the end.
func (h *waiterHeap) Push(x any) {
	w := x.(*slotWaiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop removes the waiter at the end.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	w.index = -1
	*h = old[:len(old)-1]
	return w
}
