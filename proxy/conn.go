package proxy

import (
	"context"
	"time"
)

// callerConnKey is the context key of a CallerConn.
type callerConnKey struct{}

// CallerConn describes the connection of a request. The server updates it before
// each request; it must not be changed while one is in progress.
type CallerConn struct {
	// Requests counts the connection's requests, including the one in progress.
	Requests int
	// Waited is the time between the previous answer, or the accept, and the
	// request in progress.
	Waited time.Duration
}

// WithCallerConn returns a context for the requests of the connection.
func WithCallerConn(ctx context.Context, conn *CallerConn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerConnOf returns the request's connection; it is empty if the server does not
// tell it.
func callerConnOf(ctx context.Context) CallerConn {
	if conn, ok := ctx.Value(callerConnKey{}).(*CallerConn); ok {
		return *conn
	}
	return CallerConn{}
}
