package engine

import "time"

// LoadLimiter keeps orders that load weights within the weight store's rate
// over the whole fleet. One controller alone gives such orders; a new one
// starts empty, so that two in a row stay within the rate too.
type LoadLimiter struct {
	perMinute float64
	level     float64
	at        time.Time
}

// NewLoadLimiter returns an empty limiter for the rate in loads a minute; zero
// or less allows none.
func NewLoadLimiter(perMinute float64, now time.Time) *LoadLimiter {
	return &LoadLimiter{perMinute: perMinute, at: now}
}

// SetRate takes a new rate; the level stays.
func (l *LoadLimiter) SetRate(perMinute float64, now time.Time) {
	l.refill(now)
	l.perMinute = perMinute
}

// Take spends one load, or returns how long it has to wait; never less than
// zero. A wait of zero with false means that no load is allowed at all.
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

// refill adds what has come up since, to at most one load: saved-up loads would
// come at once.
func (l *LoadLimiter) refill(now time.Time) {
	elapsed := max(now.Sub(l.at), 0)
	l.at = now
	l.level = min(l.level+elapsed.Minutes()*max(l.perMinute, 0), 1)
}

// Loads says that the order reads from the weight store.
func (k OrderKind) Loads() bool {
	return k == OrderLoadModel || k == OrderLoadAdapter || k == OrderSetVersion
}
