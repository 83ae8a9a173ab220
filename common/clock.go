package common

import "time"

// Clock tells the time. Decisions take times as values; only the parts that
// run goroutines hold a Clock.
type Clock interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
}

// SystemClock is the machine's clock.
type SystemClock struct{}

// Now returns time.Now().
func (SystemClock) Now() time.Time { return time.Now() }
