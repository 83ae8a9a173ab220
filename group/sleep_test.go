package group_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/group"
)

func TestSleep(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	tests := []struct {
		name string
		ctx  context.Context
		time time.Duration
		want bool
	}{
		{"full duration", t.Context(), time.Millisecond, true},
		{"zero duration", t.Context(), 0, true},
		{"context done", cancelled, time.Hour, false},
		{"context done, zero duration", cancelled, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, group.Sleep(tt.ctx, tt.time), tt.want) })
	}
}
