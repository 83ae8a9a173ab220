package route

// maxRetryShare is the share of the service's slots that may be retried at
// once.
const maxRetryShare = 0.5

// retryBudget allows retries as a share of successes, so that retries can't
// multiply the load of a failing service.
type retryBudget struct {
	tokens float64
	ratio  float64
	burst  float64
}

func newRetryBudget(l *Limits) retryBudget {
	return retryBudget{tokens: l.RetryBurst, ratio: l.RetryRatio, burst: l.RetryBurst}
}

// grow raises the burst to match the service's size.
func (b *retryBudget) grow(slots int) {
	burst := max(b.burst, maxRetryShare*float64(slots))
	b.tokens += burst - b.burst
	b.burst = burst
}

func (b *retryBudget) earn() {
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// spend uses one retry if there is one.
func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
