package route

import (
	"math/bits"
	"time"
)

const (
	// firstLevelTokens is the attained service at which the first level begins.
	firstLevelTokens = 4096
	// maxLevel is the highest level of attained service.
	maxLevel = 16
	// levelDelay is how much later a call ranks for each level. A call that has
	// waited longer than the difference goes first, so that none starves.
	levelDelay = 250 * time.Millisecond
	// newProgramDelay is how much later the first call of a program ranks.
	newProgramDelay = 3 * time.Second
)

// level returns the logarithmic level of the attained service.
func level(attained int64) int {
	return min(bits.Len64(uint64(max(attained, 0))/firstLevelTokens), maxLevel)
}

// priority returns the engine's priority of the call; a lower value runs first.
func priority(c *Call) int {
	if c.RunningProgram {
		return level(c.AttainedService)
	}
	return maxLevel + 1
}

// orderKey returns the call's order within its team: its submission time,
// delayed by the program's attained service or for a new program.
func orderKey(c *Call, queuedAt time.Time) time.Time {
	if !c.RunningProgram {
		return queuedAt.Add(newProgramDelay)
	}
	return queuedAt.Add(time.Duration(level(c.AttainedService)) * levelDelay)
}
