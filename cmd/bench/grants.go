package main

import (
	"math"
	"slices"
	"time"
)

// span is the time between which a granted call surely took its token: after
// it was sent and before its answer was there.
type span struct {
	sent time.Time
	done time.Time
}

// overGranted returns by how many calls the grants of a team went beyond rate
// × time + burst in the worst interval. Only calls that surely lie inside an
// interval count.
func overGranted(spans []span, ratePerSecond, burst float64) int64 {
	byDone := slices.Clone(spans)
	slices.SortFunc(byDone, func(a, b span) int { return a.done.Compare(b.done) })
	worst := 0.0
	for _, first := range spans {
		worst = math.Max(worst, excessFrom(first.sent, byDone, ratePerSecond, burst))
	}
	return int64(math.Ceil(worst))
}

func excessFrom(start time.Time, byDone []span, ratePerSecond, burst float64) float64 {
	worst, granted := 0.0, 0.0
	for _, s := range byDone {
		if s.sent.Before(start) {
			continue
		}
		granted++
		worst = math.Max(worst, granted-burst-ratePerSecond*s.done.Sub(start).Seconds())
	}
	return worst
}
