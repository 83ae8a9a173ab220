package drain

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/group"
)

// Guards against a shutdown that fails since the listener was closed just before: what
// comes after it in a planned stop would be left out.
func TestShutdownWhileServeReturns(t *testing.T) {
	for range 300 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		s := NewServer(l, &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second})
		g := group.NewGroup(t.Context())
		served := make(chan error, 1)
		g.Go(func(context.Context) { served <- s.Serve() })
		resp, err := http.Get("http://" + s.Address())
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		err = s.Shutdown(ctx)
		cancel()
		assert.NilError(t, err)
		assert.NilError(t, <-served)
		g.Close()
	}
}
