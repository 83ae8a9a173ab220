package peer

import (
	"context"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/stats"
)

// frameBytes is the overhead of HTTP/2 and gRPC for one message: a data frame and
// a headers frame whose fields are already in the connection's HPACK table.
const frameBytes = 60

type (
	// Meter is a gRPC stats handler that counts the messages and bytes of each
	// method in both directions.
	Meter struct {
		registry metrics.Registry
		side     string
		// counters caches a *counters for each countedMessages.
		counters sync.Map
	}

	countedMessages struct{ method, direction string }

	counters struct{ messages, bytes metrics.Counter }

	methodKey struct{}
)

// NewMeter returns a meter whose counters in the registry have the side as name
// prefix, such as "peer.client".
func NewMeter(registry metrics.Registry, side string) *Meter {
	return &Meter{registry: registry, side: side}
}

// TagRPC stores the method's name in the context for HandleRPC.
func (m *Meter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	name := info.FullMethodName[strings.LastIndexByte(info.FullMethodName, '/')+1:]
	return context.WithValue(ctx, methodKey{}, name)
}

// HandleRPC counts a message that was sent or received.
func (m *Meter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	name, _ := ctx.Value(methodKey{}).(string)
	switch payload := s.(type) {
	case *stats.OutPayload:
		m.count(name, "out", payload.WireLength)
	case *stats.InPayload:
		m.count(name, "in", payload.WireLength)
	}
}

// TagConn returns the context unchanged; connections are not counted.
func (m *Meter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn ignores connection events.
func (m *Meter) HandleConn(context.Context, stats.ConnStats) {}

func (m *Meter) count(method, direction string, wireBytes int) {
	key := countedMessages{method: method, direction: direction}
	cached, ok := m.counters.Load(key)
	if !ok {
		prefix := m.side + "." + method + "." + direction
		cached, _ = m.counters.LoadOrStore(key, &counters{
			messages: metrics.GetOrRegisterCounter(prefix+".messages", m.registry),
			bytes:    metrics.GetOrRegisterCounter(prefix+".bytes", m.registry),
		})
	}
	c := cached.(*counters)
	c.messages.Inc(1)
	c.bytes.Inc(int64(wireBytes + frameBytes))
}
