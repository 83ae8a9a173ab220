package drain

import (
	"context"
	"time"
)

// connKey is the context key of a conn.
type connKey struct{}

// Info describes the connection of a request.
type Info struct {
	// Requests counts the connection's requests, including the one in progress.
	Requests int
	// Waited is the time between the previous answer, or the accept, and the
	// request in progress.
	Waited time.Duration
}

// InfoOf returns the connection of the request with the context; it is empty if the
// request's server is no Server.
func InfoOf(ctx context.Context) Info {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		return c.Info
	}
	return Info{}
}

// NoteRequestRead records that the request with the context was read whole, so that its
// connection is not closed for a new one.
func NoteRequestRead(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.conns.noteRead(c)
	}
}
