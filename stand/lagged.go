package stand

import "time"

type (
	stamped[T any] struct {
		at    time.Time
		value T
	}

	// lagged shows values only after a lag.
	lagged[T any] struct {
		lag    time.Duration
		shown  T
		coming []stamped[T]
	}
)

func (l *lagged[T]) set(value T, now time.Time) {
	l.advance(now)
	l.coming = append(l.coming, stamped[T]{at: now, value: value})
}

func (l *lagged[T]) get(now time.Time) T {
	l.advance(now)
	return l.shown
}

func (l *lagged[T]) advance(now time.Time) {
	for len(l.coming) > 0 && now.Sub(l.coming[0].at) >= l.lag {
		l.shown = l.coming[0].value
		l.coming = l.coming[1:]
	}
}
