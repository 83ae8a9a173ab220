package peer

import (
	"context"

	"google.golang.org/grpc"
)

const serviceName = "buckthorntide.Peer"

// Method is a remote method with a request of type Q and a reply of type R.
type Method[Q, R any] struct {
	// Name is the method's name on the wire.
	Name string
}

// Call sends the request over the connection and waits for the reply. After an
// error the peer may or may not have applied the request.
func (m Method[Q, R]) Call(ctx context.Context, conn grpc.ClientConnInterface, q *Q) (*R, error) {
	r := new(R)
	if err := conn.Invoke(ctx, "/"+serviceName+"/"+m.Name, q, r); err != nil {
		return nil, toPeerError(err)
	}
	return r, nil
}

// Handle returns the server's handler of the method, which calls f.
func (m Method[Q, R]) Handle(f func(ctx context.Context, q *Q) (*R, error)) Handler {
	return Handler{desc: grpc.MethodDesc{
		MethodName: m.Name,
		Handler: func(_ any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			q := new(Q)
			if err := decode(q); err != nil {
				return nil, err
			}
			return f(ctx, q)
		},
	}}
}

// Handler is the server side of one method.
type Handler struct {
	desc grpc.MethodDesc
}
