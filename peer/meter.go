package peer

import (
	"context"
	"strings"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/stats"
)

// frameBytes is what HTTP/2 and gRPC put around one message: a data frame and
// a headers frame whose fields stand in the connection's table by then.
const frameBytes = 60

type (
	// Meter counts the messages and bytes of each method, both ways.
	Meter struct {
		registry metrics.Registry
		side     string
	}

	methodKey struct{}
)

// NewMeter returns a meter that counts into the registry, under names that
// begin with the side, such as "peer.client".
func NewMeter(registry metrics.Registry, side string) *Meter {
	return &Meter{registry: registry, side: side}
}

// TagRPC notes the method's name.
func (m *Meter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	name := info.FullMethodName[strings.LastIndexByte(info.FullMethodName, '/')+1:]
	return context.WithValue(ctx, methodKey{}, name)
}

// HandleRPC counts a message.
func (m *Meter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	name, _ := ctx.Value(methodKey{}).(string)
	switch payload := s.(type) {
	case *stats.OutPayload:
		m.count(name, "out", payload.WireLength)
	case *stats.InPayload:
		m.count(name, "in", payload.WireLength)
	}
}

// TagConn does nothing.
func (m *Meter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (m *Meter) HandleConn(context.Context, stats.ConnStats) {}

func (m *Meter) count(method, direction string, wireBytes int) {
	prefix := m.side + "." + method + "." + direction
	metrics.GetOrRegisterCounter(prefix+".messages", m.registry).Inc(1)
	metrics.GetOrRegisterCounter(prefix+".bytes", m.registry).Inc(int64(wireBytes + frameBytes))
}
