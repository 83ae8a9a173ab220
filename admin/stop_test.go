package admin

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/group"
)

// Guards against a planned stop that cuts an operator's request which has taken
// effect: whoever issues a key never learns it.
func TestCloseAnswersOperators(t *testing.T) {
	s, err := NewServer(common.NewCommon(hclog.NewNullLogger(), conf.DefaultSettings()), "127.0.0.1:0", fakeKeys{fresh: true}, nil)
	assert.NilError(t, err)
	started := make(chan struct{})
	var applied atomic.Bool
	s.server.Handler = s.guard(func(ctx context.Context, _ *http.Request) (any, error) {
		close(started)
		// A write to the store, which is not undone if the operator is gone.
		group.Sleep(context.WithoutCancel(ctx), 200*time.Millisecond)
		applied.Store(true)
		return struct{}{}, nil
	})
	s.Start()
	g := group.NewGroup(t.Context())
	t.Cleanup(g.Wait)
	g.Go(func(context.Context) {
		<-started
		s.Close()
	})
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+"/", strings.NewReader("{}"))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer good")
	resp, err := http.DefaultClient.Do(req)
	g.Wait()
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, applied.Load())
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
}

// Guards against an answer that keeps its connection while the server stops: the
// operator's next request would be lost with it.
func TestAnswerDuringShutdownClosesItsConnection(t *testing.T) {
	s, err := NewServer(common.NewCommon(hclog.NewNullLogger(), conf.DefaultSettings()), "127.0.0.1:0", fakeKeys{fresh: true}, nil)
	assert.NilError(t, err)
	g := group.NewGroup(t.Context())
	t.Cleanup(g.Wait)
	s.server.Handler = s.guard(func(ctx context.Context, _ *http.Request) (any, error) {
		g.Go(func(context.Context) { s.Close() })
		group.Sleep(ctx, 200*time.Millisecond)
		return struct{}{}, nil
	})
	s.Start()
	req, err := http.NewRequest(http.MethodGet, "http://"+s.Address()+"/", nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer good")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Assert(t, resp.Close, "the answer keeps its connection")
}
