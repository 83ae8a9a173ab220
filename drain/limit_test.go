package drain

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a limit of connections that closes one with a request in progress while
// another could be closed, or that closes none.
func TestConnsAtTheLimit(t *testing.T) {
	type existing struct {
		state    http.ConnState
		complete bool
	}
	tests := []struct {
		name string
		// open are the connections, the oldest first.
		open []existing
		// closed is the index of the connection that is closed; the new one comes last.
		closed int
	}{
		{"idle longest", []existing{{http.StateNew, false}, {http.StateIdle, false}, {http.StateIdle, false}}, 1},
		{"longest without a whole request", []existing{{http.StateActive, true}, {http.StateActive, false}, {http.StateNew, false}}, 1},
		{"longest without any request", []existing{{http.StateActive, true}, {http.StateNew, false}, {http.StateActive, false}}, 1},
		{"all have requests in progress", []existing{{http.StateActive, true}, {http.StateActive, true}}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newConns()
			c.limit = len(tt.open)
			displaced := 0
			c.noteDisplaced = func(total int) { displaced = total }
			ends := make([]net.Conn, len(tt.open)+1)
			known := make([]*conn, len(ends))
			for i := range ends {
				var other net.Conn
				ends[i], other = net.Pipe()
				defer func() { _ = other.Close() }()
				ctx := c.connContext(context.Background(), ends[i])
				known[i] = ctx.Value(connKey{}).(*conn)
				if i == len(tt.open) {
					break
				}
				known[i].since = time.Duration(i)
				known[i].state = tt.open[i].state
				if tt.open[i].complete {
					NoteRequestRead(ctx)
				}
			}
			for i, one := range known {
				assert.Equal(t, one.closed, i == tt.closed, "connection %d", i)
			}
			assert.Equal(t, displaced, 1)
			assert.Equal(t, c.live, c.limit)
			for _, end := range ends {
				c.setState(end, http.StateClosed)
			}
			assert.Equal(t, c.live, 0)
			assert.Equal(t, len(c.open), 0)
		})
	}
}
