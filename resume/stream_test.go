package resume

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against parts that get several times as many streams as others: the store
// runs the transactions of a part one after the other.
func TestStreamsAreDividedEvenly(t *testing.T) {
	const streams = 1000 * parts
	var counts [parts]int
	for i := range streams {
		counts[partOf(Stream{Team: "t", ID: fmt.Sprint(i)}.key())]++
	}
	for part, n := range counts {
		assert.Assert(t, n > 800 && n < 1200, "part %d has %d streams", part, n)
	}
}
