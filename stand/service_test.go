package stand_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/stand"
)

func book(t *testing.T, s *stand.Service, key string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+"/book/1", strings.NewReader("slot"))
	assert.NilError(t, err)
	request.Header.Set(stand.HeaderIdempotencyKey, key)
	status, _ := send(t, request)
	return status
}

func TestServiceCounts(t *testing.T) {
	cases := []struct {
		name   string
		faults stand.ServiceFaults
		keys   []string
		status int
		want   stand.ServiceStats
	}{
		{
			name: "two calls", keys: []string{"a", "b"}, status: http.StatusOK,
			want: stand.ServiceStats{Runs: 2, MaxInFlight: 1},
		},
		{
			name: "a call run twice", keys: []string{"a", "a"}, status: http.StatusOK,
			want: stand.ServiceStats{Runs: 2, DoubleRuns: 1, MaxInFlight: 1},
		},
		{
			name: "a run without a name", keys: []string{""}, status: http.StatusOK,
			want: stand.ServiceStats{Runs: 1, RunsWithoutKey: 1, MaxInFlight: 1},
		},
		{
			name: "a failure runs nothing", keys: []string{"a"}, status: http.StatusInternalServerError,
			faults: stand.ServiceFaults{FailProbability: 1},
			want:   stand.ServiceStats{Failures: 1, MaxInFlight: 1},
		},
		{
			name: "a crash after the run", keys: []string{"a"},
			faults: stand.ServiceFaults{CrashAfterRunNext: 1},
			want:   stand.ServiceStats{Runs: 1, Crashes: 1, MaxInFlight: 1},
		},
		{
			name: "a dependency is down", keys: []string{"a"}, status: http.StatusServiceUnavailable,
			faults: stand.ServiceFaults{DependencyDown: true},
			want:   stand.ServiceStats{Failures: 1, MaxInFlight: 1},
		},
		{
			name: "a leaked key", keys: []string{"btk_1"}, status: http.StatusOK,
			want: stand.ServiceStats{Runs: 1, LeakedKeys: 1, MaxInFlight: 1},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := stand.NewService(stand.ServiceConfig{Name: "booking"}, "127.0.0.1:0")
			assert.NilError(t, s.Start())
			defer s.Close()
			s.SetFaults(c.faults)
			for _, key := range c.keys {
				assert.Equal(t, book(t, s, key), c.status)
			}
			assert.Equal(t, s.Stats(), c.want)
		})
	}
}

func TestServiceHangsUntilTheFaultIsLifted(t *testing.T) {
	s := stand.NewService(stand.ServiceConfig{Name: "booking"}, "127.0.0.1:0")
	assert.NilError(t, s.Start())
	defer s.Close()
	s.SetFaults(stand.ServiceFaults{Hang: true})
	done := make(chan int, 1)
	g := group.NewGroup(context.Background())
	defer g.Close()
	g.Go(func(context.Context) { done <- book(t, s, "a") })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.Stats().MaxInFlight == 1 {
			return poll.Success()
		}
		return poll.Continue("no call yet")
	}, poll.WithDelay(time.Millisecond))
	s.SetFaults(stand.ServiceFaults{})
	assert.Equal(t, <-done, 0)
	assert.Equal(t, s.Runs("a"), int64(0))
}
