package engine

import "time"

// LoadLimiter is a token bucket of one token for the orders that load weights
// from the weight store. Only one controller of the fleet gives such orders. A
// new controller starts with an empty bucket, so a takeover can't exceed the
// rate.
type LoadLimiter struct {
	perMinute  float64
	level      float64
	refilledAt time.Time
}

// NewLoadLimiter returns an empty limiter for the rate in loads a minute; zero
// or less allows none.
func NewLoadLimiter(perMinute float64, now time.Time) *LoadLimiter {
	return &LoadLimiter{perMinute: perMinute, refilledAt: now}
}

// SetRate changes the rate and keeps the bucket's level.
func (l *LoadLimiter) SetRate(perMinute float64, now time.Time) {
	l.refill(now)
	l.perMinute = perMinute
}

// Take takes one load, or returns false and the delay until one is available.
// A delay of zero with false means that the rate allows no load at all.
func (l *LoadLimiter) Take(now time.Time) (bool, time.Duration) {
	if l.perMinute <= 0 {
		return false, 0
	}
	l.refill(now)
	if l.level >= 1 {
		l.level--
		return true, 0
	}
	minutes := (1 - l.level) / l.perMinute
	return false, time.Duration(minutes * float64(time.Minute))
}

// refill adds the elapsed time's loads, up to one: more would allow a burst.
func (l *LoadLimiter) refill(now time.Time) {
	elapsed := max(now.Sub(l.refilledAt), 0)
	l.refilledAt = now
	l.level = min(l.level+elapsed.Minutes()*max(l.perMinute, 0), 1)
}

// LoadsWeights reports whether the order reads from the weight store.
func (k OrderKind) LoadsWeights() bool {
	return k == OrderLoadModel || k == OrderLoadAdapter || k == OrderSetVersion
}
