package prog

import (
	"container/heap"
	"time"
)

type (
	// wake is the time of a family's next expire.
	wake struct {
		at   time.Time
		root string
	}

	wakeSlice []wake

	// wakeHeap orders wakes by time, the earliest first.
	wakeHeap struct {
		wakes wakeSlice
	}
)

func (h *wakeHeap) push(w wake) { heap.Push(&h.wakes, w) }

// pop returns the next root whose wake is due, if any.
func (h *wakeHeap) pop(now time.Time) (string, bool) {
	if len(h.wakes) == 0 || h.wakes[0].at.After(now) {
		return "", false
	}
	w, _ := heap.Pop(&h.wakes).(wake)
	return w.root, true
}

// Len implements sort.Interface.
func (s wakeSlice) Len() int { return len(s) }

// Less implements sort.Interface.
func (s wakeSlice) Less(i, j int) bool {
	if s[i].at.Equal(s[j].at) {
		return s[i].root < s[j].root
	}
	return s[i].at.Before(s[j].at)
}

// Swap implements sort.Interface.
func (s wakeSlice) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *wakeSlice) Push(x any) {
	w, _ := x.(wake)
	*s = append(*s, w)
}

// Pop implements heap.Interface.
func (s *wakeSlice) Pop() any {
	last := len(*s) - 1
	w := (*s)[last]
	*s = (*s)[:last]
	return w
}
