package resume

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// All instances together use a third of the store's write calls at most, and a large
// fleet at a store of its size writes the streams of an instance, two a second, faster
// than they come.
func TestWriteInterval(t *testing.T) {
	tests := []struct {
		instances, storeRate int
		longest              time.Duration
	}{
		{11, 800, 500 * time.Millisecond},
		{90, 1500, 500 * time.Millisecond},
		{295, 4000, 500 * time.Millisecond},
		{0, 0, 3 * time.Second},
	}
	for _, tt := range tests {
		interval := Config{Instances: func() int { return tt.instances }, StoreWriteRate: tt.storeRate}.writeInterval()
		assert.Assert(t, interval > 0 && interval <= tt.longest, "%d instances: %v", tt.instances, interval)
		perSecond := float64(tt.instances) / interval.Seconds()
		assert.Assert(t, perSecond <= float64(tt.storeRate)/storeShare+1, "%d instances: %g a second", tt.instances, perSecond)
	}
}

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
