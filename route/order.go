package route

import (
	"math/bits"
	"time"
)

const (
	// serviceUnit is the attained service, in tokens, of the first level.
	serviceUnit = 4096
	// maxLevel bounds the levels of attained service.
	maxLevel = 16
	// levelDelay is how much later a call ranks for each level. A call that has
	// waited longer than the difference goes first, so that none starves.
	levelDelay = 250 * time.Millisecond
	// newDelay is how much later the first call of a program ranks.
	newDelay = 3 * time.Second
)

// level grows with the logarithm of the attained service.
func level(attained int64) int {
	return min(bits.Len64(uint64(max(attained, 0))/serviceUnit), maxLevel)
}

// priority is what the engine is told; a lower value runs first.
func priority(c *Call) int {
	if c.RunningProgram {
		return level(c.AttainedService)
	}
	return maxLevel + 1
}

// orderKey is the call's order within its team: its arrival, put back by the
// program's attained service and for a new program.
func orderKey(c *Call, queuedAt time.Time) time.Time {
	if !c.RunningProgram {
		return queuedAt.Add(newDelay)
	}
	return queuedAt.Add(time.Duration(level(c.AttainedService)) * levelDelay)
}
