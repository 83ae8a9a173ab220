package proxy

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a few turns with endless outputs that leave no memory for others.
func TestOutputsLeaveEachTurnItsShare(t *testing.T) {
	const limit = 100
	var o outputs
	o.begin()
	assert.Assert(t, o.grow(0, limit, limit))
	assert.Assert(t, !o.grow(limit, 1, limit))
	o.begin()
	assert.Assert(t, o.grow(0, limit/2, limit))
	assert.Assert(t, !o.grow(limit/2, 1, limit))
	o.end(limit)
	assert.Assert(t, o.grow(limit/2, limit/2, limit))
	o.end(limit)
	assert.Equal(t, o.used, 0)
	assert.Equal(t, o.turns, 0)
}
