package share_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/share"
)

// TestLargeFleetAsksFewHolders guards against a fleet whose instances spend more
// on asking each other for tokens than on requests: nearly every instance of a
// large fleet has no share of a team's quota and borrows for each request.
func TestLargeFleetAsksFewHolders(t *testing.T) {
	const (
		timeout = 300 * time.Millisecond
		span    = 12 * window
	)
	tests := []struct {
		name      string
		instances int
		rate      float64
		// load is the offered share of the quota, maxAsks the bound on the calls
		// for each request and minServed the least share of the quota served.
		load, maxAsks, minServed float64
	}{
		{"90 instances, half of the quota", 90, 40, 0.5, 1.2, 0.495},
		{"295 instances, nine tenths of the quota", 295, 40, 0.9, 2, 0.87},
		{"90 instances, one and a half times the quota", 90, 40, 1.5, 5, 0.95},
		{"90 instances, three times the quota", 90, 40, 3, 5, 0.95},
		{"295 instances, three times a small quota", 295, 8, 3, 5, 0.85},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			q := share.NewQuota("team", tt.rate, tt.rate, window)
			f := newFleet(tt.instances)
			chance := tt.load * q.Limit * float64(time.Millisecond) / float64(window)
			offered, served := 0, 0
			asks = 0
			for now := window; now < window+span; now += time.Millisecond {
				if random.Float64() >= chance {
					continue
				}
				offered++
				if _, ok := f.admit(random.IntN(tt.instances), q, false, now, timeout); ok {
					served++
				}
			}
			perRequest := float64(asks) / float64(offered)
			ofQuota := float64(served) / (q.Limit * span.Seconds() / window.Seconds())
			t.Logf("%.2f calls a request, %.3f of the quota served", perRequest, ofQuota)
			assert.Check(t, perRequest <= tt.maxAsks, "%.2f calls a request", perRequest)
			assert.Check(t, ofQuota >= tt.minServed, "%.3f of the quota served", ofQuota)
		})
	}
}
