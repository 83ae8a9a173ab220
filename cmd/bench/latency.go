package main

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency        = 10 * time.Minute
	histogramDigits   = 3
	slowdownScale     = 1000
	microsPerMilli    = 1000
	quantileMedian    = 50
	quantileHigh      = 95
	quantileHighest   = 99
	minTeamPrograms   = 5
	maxSlowdownScaled = 1000 * slowdownScale
)

// latencies measures programs that ran to their end.
type latencies struct {
	programs *hdrhistogram.Histogram
	ideal    *hdrhistogram.Histogram
	slowdown []*hdrhistogram.Histogram
}

func newLatencies(teams int) *latencies {
	l := &latencies{programs: newHistogram(maxLatency.Microseconds()), ideal: newHistogram(maxLatency.Microseconds())}
	for range teams {
		l.slowdown = append(l.slowdown, newHistogram(maxSlowdownScaled))
	}
	return l
}

func newHistogram(highest int64) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highest, histogramDigits)
}

func (l *latencies) add(p programRecord) {
	ideal := p.plan.ideal()
	_ = l.programs.RecordValue(p.latency.Microseconds())
	_ = l.ideal.RecordValue(ideal.Microseconds())
	slowdown := float64(p.latency) / float64(ideal)
	_ = l.slowdown[p.plan.team].RecordValue(int64(slowdown * slowdownScale))
}

// worstTeamRatio returns the highest p95 slowdown of a team over the median
// team's. Teams with too few programs for a p95 are left out.
func (l *latencies) worstTeamRatio() float64 {
	var slowdowns []int64
	for _, h := range l.slowdown {
		if h.TotalCount() >= minTeamPrograms {
			slowdowns = append(slowdowns, h.ValueAtQuantile(quantileHigh))
		}
	}
	if len(slowdowns) == 0 {
		return 0
	}
	slices.Sort(slowdowns)
	median := slowdowns[(len(slowdowns)-1)/2]
	return float64(slowdowns[len(slowdowns)-1]) / float64(median)
}

// countPrograms measures the programs, without those of noisy teams.
func (l *ledger) countPrograms(teams []teamLoad, into *result) {
	measured := newLatencies(len(teams))
	for _, p := range l.programs {
		if p.failed {
			into.ProgramsFailed++
			continue
		}
		into.Programs++
		if !teams[p.plan.team].noisy {
			measured.add(p)
		}
	}
	into.ProgramLatencyP50Ms = milliseconds(measured.programs, quantileMedian)
	into.ProgramLatencyP95Ms = milliseconds(measured.programs, quantileHigh)
	into.ProgramLatencyP99Ms = milliseconds(measured.programs, quantileHighest)
	into.IdealLatencyP99Ms = milliseconds(measured.ideal, quantileHighest)
	into.WorstTeamRatio = measured.worstTeamRatio()
}

func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / microsPerMilli
}
