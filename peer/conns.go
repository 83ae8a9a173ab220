package peer

import (
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

const (
	// minReconnectBackoff is the delay before the first attempt to reconnect.
	minReconnectBackoff = 50 * time.Millisecond
	// maxReconnectBackoff bounds the delay between attempts to reconnect.
	maxReconnectBackoff = 500 * time.Millisecond
	// connectTimeout bounds one attempt to connect.
	connectTimeout = time.Second
	// windowBytes is the flow-control window of a connection. A fixed one saves the
	// pings by which gRPC would estimate it.
	windowBytes = 1 << 20
	// bufferBytes is the size of a connection's buffers: messages are small, and
	// each instance is connected to most others.
	bufferBytes = 4 << 10
)

// Conns holds one connection to each peer that has been called; Close closes
// them. It is safe for concurrent use.
type Conns struct {
	meter *Meter
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewConns returns an empty set of connections that counts their messages in the
// registry.
func NewConns(registry metrics.Registry) *Conns {
	return &Conns{meter: NewMeter(registry, "peer.client"), conns: make(map[string]*grpc.ClientConn)}
}

// To returns the connection to the peer at the address (IP:port). It is
// established by the first call.
func (c *Conns) To(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		return conn, nil
	}
	conn, err := c.dial(address)
	if err != nil {
		return nil, errors.WithType(err, ErrUnreachable)
	}
	c.conns[address] = conn
	return conn, nil
}

// Close closes all connections; calls in flight fail.
func (c *Conns) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	clear(c.conns)
}

func (c *Conns) dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithStatsHandler(c.meter),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(
			grpc.ForceCodec(Codec{}),
			grpc.MaxCallRecvMsgSize(maxMessageBytes),
			grpc.MaxCallSendMsgSize(maxMessageBytes),
		),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minReconnectBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnectBackoff},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveInterval, Timeout: keepaliveTimeout, PermitWithoutStream: true,
		}),
	)
}
