package peer_test

import (
	"context"
	"runtime"
	"strconv"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/peer"
)

type (
	question struct {
		Number int    `json:"number"`
		Extra  string `json:"extra,omitempty"`
	}

	answer struct {
		Double int `json:"double"`
	}
)

var double = peer.Method[question, answer]{Name: "Double"}

// newServer answers the method double: an odd number is not its home's.
func newServer(tb testing.TB) *peer.Server {
	tb.Helper()
	c := common.NewCommon(hclog.NewNullLogger(), conf.DefaultSettings())
	s, err := peer.NewServer(c, "127.0.0.1:0")
	assert.NilError(tb, err)
	s.Register(double.Handle(func(_ context.Context, q *question) (*answer, error) {
		if q.Number%2 != 0 {
			return nil, peer.NotHome()
		}
		return &answer{Double: 2 * q.Number}, nil
	}))
	s.Start()
	tb.Cleanup(s.Close)
	return s
}

func TestCall(t *testing.T) {
	s := newServer(t)
	gone := newServer(t)
	gone.Close()
	tests := []struct {
		name    string
		address string
		number  int
		want    int
		err     error
	}{
		{name: "answered", address: s.Address(), number: 4, want: 8},
		{name: "not the home", address: s.Address(), number: 3, err: peer.ErrNotHome},
		{name: "unreachable", address: gone.Address(), number: 4, err: peer.ErrUnreachable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conns := peer.NewConns(metrics.NewRegistry())
			defer conns.Close()
			conn, err := conns.To(tt.address)
			assert.NilError(t, err)
			reply, err := double.Call(t.Context(), conn, &question{Number: tt.number})
			if tt.err != nil {
				assert.Assert(t, errors.Is(err, tt.err), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, reply.Double, tt.want)
		})
	}
}

// TestNotHomeIsTheSameForALocalAsker holds the error to what a remote asker
// sees: once a local one took it for final.
func TestNotHomeIsTheSameForALocalAsker(t *testing.T) {
	assert.Assert(t, errors.Is(peer.NotHome(), peer.ErrNotHome))
}

// TestMessagesOfAnotherVersion sends a field that the other side lacks.
func TestMessagesOfAnotherVersion(t *testing.T) {
	type older struct {
		Number int `json:"number"`
	}
	raw, err := peer.Codec{}.Marshal(question{Number: 2, Extra: "new"})
	assert.NilError(t, err)
	var got older
	assert.NilError(t, peer.Codec{}.Unmarshal(raw, &got))
	assert.Equal(t, got.Number, 2)
}

func BenchmarkCall(b *testing.B) {
	s := newServer(b)
	conns := peer.NewConns(metrics.NewRegistry())
	defer conns.Close()
	conn, err := conns.To(s.Address())
	assert.NilError(b, err)
	for b.Loop() {
		_, err := double.Call(b.Context(), conn, &question{Number: 4})
		assert.NilError(b, err)
	}
}

// BenchmarkConnMemory measures what a connection takes at both ends together:
// go test ./peer -run '^$' -bench ConnMemory -benchtime 1x.
func BenchmarkConnMemory(b *testing.B) {
	for _, count := range []int{10, 50, 200} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			servers := make([]*peer.Server, count)
			for i := range servers {
				servers[i] = newServer(b)
			}
			for b.Loop() {
				before := memoryInUse()
				conns := peer.NewConns(metrics.NewRegistry())
				for _, s := range servers {
					conn, err := conns.To(s.Address())
					assert.NilError(b, err)
					_, err = double.Call(b.Context(), conn, &question{Number: 4})
					assert.NilError(b, err)
				}
				b.ReportMetric(float64(memoryInUse()-before)/float64(count), "B/connection")
				conns.Close()
			}
		})
	}
}

// memoryInUse returns the bytes of live objects and of goroutines' stacks.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
