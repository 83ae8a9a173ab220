package route

import "time"

const (
	// estimateGain is the weight of a new sample in a moving average.
	estimateGain = 0.05
	// estimateRange bounds how far an estimate may go from its setting.
	estimateRange = 16
	// sampleTokens is the least prefill that says anything of its rate.
	sampleTokens = 512
)

// estimate is what a pool has learnt of its service.
type estimate struct {
	// prefill is in tokens a second, service in seconds a call.
	prefill    float64
	service    float64
	prefillSet float64
	serviceSet float64
}

func newEstimate(l *Limits) estimate {
	prefill := max(l.PrefillRate, 1)
	service := max(l.ServiceTime.Seconds(), 0.001)
	return estimate{prefill: prefill, service: service, prefillSet: prefill, serviceSet: service}
}

// firstToken learns from a prefill that waited for no other one.
func (e *estimate) firstToken(tokens int, took time.Duration) {
	if tokens < sampleTokens || took <= 0 {
		return
	}
	rate := float64(tokens) / took.Seconds()
	rate = min(max(rate, e.prefillSet/estimateRange), e.prefillSet*estimateRange)
	e.prefill += estimateGain * (rate - e.prefill)
}

// serviceTime learns from a whole call.
func (e *estimate) serviceTime(took time.Duration) {
	seconds := min(max(took.Seconds(), e.serviceSet/estimateRange), e.serviceSet*estimateRange)
	e.service += estimateGain * (seconds - e.service)
}

// prefillTime is how long an engine computes the tokens.
func (e *estimate) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / e.prefill * float64(time.Second))
}

// wait is how long a call waits behind ahead others for one of slots.
func (e *estimate) wait(ahead, slots int) time.Duration {
	if slots <= 0 {
		return time.Hour
	}
	return time.Duration(e.service * float64(ahead) / float64(slots) * float64(time.Second))
}
