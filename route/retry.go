package route

// retryShare is the share of the service's slots that may be retried at once.
const retryShare = 0.5

// retryBudget lets a share of successes be spent on retries, so that retries
// can't multiply the load of a service that fails.
type retryBudget struct {
	tokens float64
	ratio  float64
	burst  float64
}

func newRetryBudget(l *Limits) retryBudget {
	return retryBudget{tokens: l.RetryBurst, ratio: l.RetryRatio, burst: l.RetryBurst}
}

// grow raises the burst to the service's size.
func (b *retryBudget) grow(slots int) {
	burst := max(b.burst, retryShare*float64(slots))
	b.tokens += burst - b.burst
	b.burst = burst
}

func (b *retryBudget) succeed() {
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// take spends one retry if there is one.
func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
