package limit

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/fleet"
)

// TestSharesNeverSumToMoreThanTheGrant tries every division of the seats among
// up to three homes; a further home could only get less.
func TestSharesNeverSumToMoreThanTheGrant(t *testing.T) {
	tests := []struct {
		name  string
		share Share
	}{
		{"majority", Majority{}},
		{"proportional", Proportional{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for a := range fleet.SeatCount + 1 {
				for b := range fleet.SeatCount + 1 - a {
					c := fleet.SeatCount - a - b
					sum := tt.share.Of(a) + tt.share.Of(b) + tt.share.Of(c)
					assert.Assert(t, sum <= fullShare, "%d, %d and %d seats", a, b, c)
				}
			}
		})
	}
}
