package route

import "time"

const (
	// estimateGain is the weight of a new sample in a moving average.
	estimateGain = 0.05
	// maxEstimateRatio bounds an estimate relative to its configured value.
	maxEstimateRatio = 16
	// minSampleTokens is the shortest prefill that gives a usable rate.
	minSampleTokens = 512
)

// estimate holds a service's observed speeds.
type estimate struct {
	// prefillRate is in tokens per second; serviceSeconds is the time of a call.
	prefillRate       float64
	serviceSeconds    float64
	configuredRate    float64
	configuredSeconds float64
}

func newEstimate(l *Limits) estimate {
	prefill := max(l.PrefillRate, 1)
	service := max(l.ServiceTime.Seconds(), 0.001)
	return estimate{prefillRate: prefill, serviceSeconds: service, configuredRate: prefill, configuredSeconds: service}
}

// observePrefill updates the rate from a prefill that waited for no other one.
func (e *estimate) observePrefill(tokens int, took time.Duration) {
	if tokens < minSampleTokens || took <= 0 {
		return
	}
	rate := float64(tokens) / took.Seconds()
	rate = min(max(rate, e.configuredRate/maxEstimateRatio), e.configuredRate*maxEstimateRatio)
	e.prefillRate += estimateGain * (rate - e.prefillRate)
}

// observeServiceTime updates the time of a call from a completed one.
func (e *estimate) observeServiceTime(took time.Duration) {
	seconds := min(max(took.Seconds(), e.configuredSeconds/maxEstimateRatio), e.configuredSeconds*maxEstimateRatio)
	e.serviceSeconds += estimateGain * (seconds - e.serviceSeconds)
}

// prefillTime returns how long an engine takes to compute the tokens.
func (e *estimate) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / e.prefillRate * float64(time.Second))
}

// wait returns how long a call waits behind ahead others for one of slots.
func (e *estimate) wait(ahead, slots int) time.Duration {
	if slots <= 0 {
		return time.Hour
	}
	return time.Duration(e.serviceSeconds * float64(ahead) / float64(slots) * float64(time.Second))
}
