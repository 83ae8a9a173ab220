package pick

import (
	"math"
	"time"
)

const (
	// nominalPace is the pace, in percent, at which work takes the usual time.
	nominalPace = 100
	// minPace and maxPace bound the effect of an upstream that reports a false
	// pace.
	minPace = 0.25
	maxPace = 4.0
	// paceSmoothing is the time constant of the pace that counts for the fill.
	// Upstreams change their figure many times a second.
	paceSmoothing = time.Second
	// meanPaceSmoothing is the time constant of the pace that counts for the size.
	meanPaceSmoothing = time.Minute
	// maxMeanWeight bounds the effect of one figure on the mean where an instance
	// rarely has an answer of the upstream.
	maxMeanWeight = 1.0 / 64
	// minPaceReports is how many figures a mean needs to count for the size.
	minPaceReports = 8
	// stepsPerDoubling is the resolution of the pace that counts for the size. Each
	// step moves programs and objects, also between instances while they disagree.
	stepsPerDoubling = 2
	// stepHysteresis is how far, in steps, the mean must be from the current step
	// to change it. Figures spread evenly between 50 and 300 have a mean that
	// deviates by a tenth of a step at maxMeanWeight.
	stepHysteresis = 0.75
	// minStepAge is the least time between changes of the step.
	minStepAge = 10 * time.Second
)

// pace follows how long work takes at an upstream, as a multiple of the usual.
type pace struct {
	// recent is smoothed over a second.
	recent float64
	// mean is the long-term mean of the count figures since the first.
	mean  float64
	count int
	// step is the quantized mean; 0 is the usual pace. factor is its multiple.
	step       int
	factor     float64
	steppedAt  time.Duration
	reportedAt time.Duration
}

// report takes in a figure in percent. One that is not positive is ignored, and the
// earlier ones count until they expire.
func (c *pace) report(percent int, now time.Duration) {
	if percent <= 0 {
		return
	}
	figure := min(maxPace, max(minPace, float64(percent)/nominalPace))
	if c.count > 0 && now-c.reportedAt >= recordTTL {
		*c = pace{}
	}
	if c.count == 0 {
		*c = pace{recent: figure, mean: figure, count: 1, steppedAt: now, reportedAt: now}
		return
	}
	gap := max(0, now-c.reportedAt)
	if gap >= loadTTL {
		// A single figure says little about the next second; the mean is the better
		// start.
		c.recent = c.mean
	}
	c.recent += smoothingWeight(min(gap, loadTTL), paceSmoothing) * (figure - c.recent)
	weight := min(maxMeanWeight, smoothingWeight(gap, meanPaceSmoothing))
	c.count++
	c.mean += max(weight, 1/float64(c.count)) * (figure - c.mean)
	c.reportedAt = now
	c.quantize(now)
}

// smoothingWeight returns the weight of a new figure in an exponential average.
func smoothingWeight(gap, constant time.Duration) float64 {
	return 1 - math.Exp(-gap.Seconds()/constant.Seconds())
}

func (c *pace) quantize(now time.Duration) {
	if c.count < minPaceReports || now-c.steppedAt < minStepAge {
		return
	}
	exact := math.Log2(c.mean) * stepsPerDoubling
	if math.Abs(exact-float64(c.step)) > stepHysteresis {
		c.step, c.steppedAt = int(math.Round(exact)), now
		c.factor = math.Exp2(float64(c.step) / stepsPerDoubling)
	}
}

// current returns the recent pace and whether it is known.
func (c *pace) current(now time.Duration) (factor float64, known bool) {
	if c.count == 0 || now-c.reportedAt >= loadTTL {
		return 1, false
	}
	return c.recent, true
}

// longTerm returns the quantized mean, or 1 if it is unknown.
func (c *pace) longTerm(now time.Duration) float64 {
	if c.step == 0 || now-c.reportedAt >= recordTTL {
		return 1
	}
	return c.factor
}
