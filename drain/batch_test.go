package drain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a close of idle connections that takes longer the more there are.
func TestCloseBatchSize(t *testing.T) {
	for _, conns := range []int{0, 1, 7, 8, 300, 801, 3_000, 100_000} {
		size := closeBatchSize(conns)
		pauses := time.Duration((conns+size-1)/size) * closePause
		assert.Assert(t, size >= minCloseBatch && pauses <= closeTime, "%d connections: %d at a time take %v", conns, size, pauses)
	}
}
