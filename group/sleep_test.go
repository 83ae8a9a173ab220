package group_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/group"
)

func TestSleep(t *testing.T) {
	ended, end := context.WithCancel(t.Context())
	end()
	tests := []struct {
		name string
		ctx  context.Context
		time time.Duration
		want bool
	}{
		{"to its end", t.Context(), time.Millisecond, true},
		{"no time", t.Context(), 0, true},
		{"ended before", ended, time.Hour, false},
		{"ended before, no time", ended, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, group.Sleep(tt.ctx, tt.time), tt.want) })
	}
}
