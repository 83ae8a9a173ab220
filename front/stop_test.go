package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against short grace periods that end before any request is answered.
func TestStopPlan(t *testing.T) {
	tests := []struct {
		name  string
		grace time.Duration
		want  stopPlan
	}{
		{"usual", 8 * time.Second, stopPlan{accept: 2500 * time.Millisecond, first: 3 * time.Second, answer: 7300 * time.Millisecond, settle: 200 * time.Millisecond, deregister: 300 * time.Millisecond}},
		{"long", time.Minute, stopPlan{accept: 2500 * time.Millisecond, first: 3 * time.Second, answer: 59300 * time.Millisecond, settle: 200 * time.Millisecond, deregister: 300 * time.Millisecond}},
		{"short", 2 * time.Second, stopPlan{accept: 875 * time.Millisecond, first: 1050 * time.Millisecond, answer: 1750 * time.Millisecond, settle: 250 * time.Millisecond * settleSevenths / 7, deregister: 250 * time.Millisecond * deregisterSevenths / 7}},
		{"none", 0, stopPlan{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plan := newStopPlan(tt.grace)
			assert.Equal(t, plan, tt.want)
			assert.Assert(t, plan.answer+plan.settle+plan.deregister <= tt.grace)
		})
	}
}
