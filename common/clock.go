package common

import "time"

// Clock provides the current time. Decision code takes times as arguments; only
// code that runs goroutines holds a Clock.
type Clock interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now returns time.Now().
func (SystemClock) Now() time.Time { return time.Now() }
