package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Instances that take turns fail without an end of their reservations. These must
// not gather for ever, and their tokens count as spent.
func TestReservationsOfFailedInstancesExpire(t *testing.T) {
	d := newDesk()
	assert.Assert(t, d.add("a", reserved{program: "p", maxTokens: 10, at: time.Minute}))
	assert.Assert(t, d.add("b", reserved{program: "q", maxTokens: 20, at: 9 * time.Minute}))
	_, ok := d.end("c", time.Minute)
	assert.Assert(t, !ok)
	assert.Equal(t, len(d.expire(10*time.Minute)), 0)
	expired := d.expire(12 * time.Minute)
	assert.Equal(t, len(expired), 1)
	assert.Equal(t, expired[0].program, "p")
	assert.Equal(t, len(d.reservations), 1)
	assert.Equal(t, len(d.cancelled), 0)
}
