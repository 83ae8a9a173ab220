package limit

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/fleet"
)

// TestSharesNeverSumToMoreThanTheGrant checks every division of the slots among
// up to three homes; another home would only divide them further.
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
			for a := range fleet.LeaseSlotCount + 1 {
				for b := range fleet.LeaseSlotCount + 1 - a {
					c := fleet.LeaseSlotCount - a - b
					sum := tt.share.Of(a) + tt.share.Of(b) + tt.share.Of(c)
					assert.Assert(t, sum <= fullShare, "%d, %d and %d slots", a, b, c)
				}
			}
		})
	}
}
