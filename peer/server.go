package peer

import (
	"context"
	"net"
	"runtime/debug"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
)

const (
	// maxMessageBytes bounds one message; long histories are the largest ones.
	maxMessageBytes = 64 << 20
	// keepaliveInterval is the time between two pings on an idle connection.
	keepaliveInterval = 10 * time.Second
	// keepaliveTimeout bounds the wait for the reply to a ping; after it the
	// connection is closed.
	keepaliveTimeout = 2 * time.Second
	// streamWorkers is the number of goroutines that handle calls one after the
	// other, on stacks that have grown already. Further calls get one of their own.
	streamWorkers = 8
)

// Server handles the calls of other instances.
type Server struct {
	common   *common.Common
	listener net.Listener
	server   *grpc.Server
	group    *group.Group
}

// NewServer returns a server that listens on the address (IP:port). It serves the
// registered handlers once Start is called.
func NewServer(c *common.Common, address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for peers")
	}
	return &Server{
		common:   c.Part("peer"),
		listener: listener,
		server: grpc.NewServer(
			grpc.ForceServerCodec(Codec{}),
			grpc.MaxRecvMsgSize(maxMessageBytes),
			grpc.StatsHandler(NewMeter(c.Metrics, "peer.server")),
			grpc.InitialWindowSize(windowBytes),
			grpc.InitialConnWindowSize(windowBytes),
			grpc.ReadBufferSize(bufferBytes),
			grpc.WriteBufferSize(bufferBytes),
			grpc.NumStreamWorkers(streamWorkers),
			grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
		),
		group: group.NewGroup(context.Background()),
	}, nil
}

// Register adds the handlers; it must be called once, before Start.
func (s *Server) Register(handlers ...Handler) {
	desc := &grpc.ServiceDesc{ServiceName: serviceName, HandlerType: (*any)(nil)}
	for _, h := range handlers {
		desc.Methods = append(desc.Methods, s.recoverPanics(h.desc))
	}
	s.server.RegisterService(desc, struct{}{})
}

// recoverPanics makes a panic of the method's handler fail its call alone: a message
// that a handler does not expect must not end the process.
func (s *Server) recoverPanics(method grpc.MethodDesc) grpc.MethodDesc {
	handle := method.Handler
	method.Handler = func(srv any, ctx context.Context, decode func(any) error, i grpc.UnaryServerInterceptor) (reply any, err error) {
		defer func() {
			if cause := recover(); cause != nil {
				s.common.Log.Error("handler of a peer's call panicked", "method", method.MethodName, "cause", cause, "stack", string(debug.Stack()))
				reply, err = nil, status.Error(codes.Internal, "handler panicked")
			}
		}()
		return handle(srv, ctx, decode, i)
	}
	return method
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Start serves calls in the background.
func (s *Server) Start() {
	s.group.Go(func(context.Context) {
		if err := s.server.Serve(s.listener); err != nil {
			s.common.Log.Error("peer server failed", "error", err)
		}
	})
}

// Close closes all connections, cancels calls in flight and waits until the
// server has stopped.
func (s *Server) Close() {
	s.server.Stop()
	s.group.Close()
}
