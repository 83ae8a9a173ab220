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
	request struct {
		Number int    `json:"number"`
		Extra  string `json:"extra,omitempty"`
	}

	reply struct {
		Double int `json:"double"`
	}
)

var double = peer.Method[request, reply]{Name: "Double"}

// panicNumber makes the handler of double panic.
const panicNumber = 666

// newServer starts a server of the method double, which returns NotHome for an
// odd number.
func newServer(tb testing.TB) *peer.Server {
	tb.Helper()
	c := common.NewCommon(hclog.NewNullLogger(), conf.DefaultSettings())
	s, err := peer.NewServer(c, "127.0.0.1:0")
	assert.NilError(tb, err)
	s.Register(double.Handle(func(_ context.Context, q *request) (*reply, error) {
		if q.Number == panicNumber {
			panic("unexpected number")
		}
		if q.Number%2 != 0 {
			return nil, peer.NotHome()
		}
		return &reply{Double: 2 * q.Number}, nil
	}))
	s.Start()
	tb.Cleanup(s.Close)
	return s
}

// A message that a handler does not expect must fail its own call only.
func TestPanicOfAHandlerFailsItsCall(t *testing.T) {
	s := newServer(t)
	conns := peer.NewConns(metrics.NewRegistry())
	t.Cleanup(conns.Close)
	conn, err := conns.To(s.Address())
	assert.NilError(t, err)
	_, err = double.Call(t.Context(), conn, &request{Number: panicNumber})
	assert.ErrorIs(t, err, peer.ErrFailed)
	got, err := double.Call(t.Context(), conn, &request{Number: 4})
	assert.NilError(t, err)
	assert.Equal(t, got.Double, 8)
}

func TestCall(t *testing.T) {
	s := newServer(t)
	closed := newServer(t)
	closed.Close()
	tests := []struct {
		name    string
		address string
		number  int
		want    int
		err     error
	}{
		{name: "answered", address: s.Address(), number: 4, want: 8},
		{name: "not the home", address: s.Address(), number: 3, err: peer.ErrNotHome},
		{name: "unreachable", address: closed.Address(), number: 4, err: peer.ErrUnreachable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conns := peer.NewConns(metrics.NewRegistry())
			defer conns.Close()
			conn, err := conns.To(tt.address)
			assert.NilError(t, err)
			got, err := double.Call(t.Context(), conn, &request{Number: tt.number})
			if tt.err != nil {
				assert.Assert(t, errors.Is(err, tt.err), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, got.Double, tt.want)
		})
	}
}

// TestNotHomeMatchesForLocalCaller guards against a local caller that treats the
// error as final: it must match ErrNotHome, as it does for a remote caller.
func TestNotHomeMatchesForLocalCaller(t *testing.T) {
	assert.Assert(t, errors.Is(peer.NotHome(), peer.ErrNotHome))
}

// TestUnknownFieldIsIgnored decodes a message of a newer version, with a field that
// the receiver lacks.
func TestUnknownFieldIsIgnored(t *testing.T) {
	type older struct {
		Number int `json:"number"`
	}
	raw, err := peer.Codec{}.Marshal(request{Number: 2, Extra: "new"})
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
		_, err := double.Call(b.Context(), conn, &request{Number: 4})
		assert.NilError(b, err)
	}
}

// BenchmarkConnMemory measures the memory of a connection, both ends together:
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
					_, err = double.Call(b.Context(), conn, &request{Number: 4})
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
