package engine_test

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/stand"
)

// TestClientWithStandIn makes every call of the protocol to the stand-in engine,
// so that client and stand-in don't diverge.
func TestClientWithStandIn(t *testing.T) {
	e := stand.NewEngine(stand.EngineConfig{Name: "e", ChecksFence: true, DecodeTokensPerSecond: 1e6}, "127.0.0.1:0")
	assert.NilError(t, e.Start())
	defer e.Close()
	ctx := context.Background()
	client := engine.NewClient(http.DefaultClient)
	target := engine.Target{Address: e.Address()}
	body := []byte(`{"model":"m","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello there"}]}`)

	stream, err := client.Complete(ctx, target, engine.Completion{RequestID: "r", Program: "p", Body: body})
	assert.NilError(t, err)
	chunks := count(t, stream)
	stream, err = client.Resume(ctx, target, "r", 2)
	assert.NilError(t, err)
	assert.Equal(t, count(t, stream), chunks-2, "a resumed stream starts at the requested chunk")

	load, err := client.Load(ctx, target)
	assert.NilError(t, err)
	assert.Assert(t, load.Epoch != "")
	list, err := client.ListCache(ctx, target)
	assert.NilError(t, err)
	assert.Equal(t, len(list.Entries), 1)
	assert.Equal(t, list.Entries[0].Program, "p")
	events, err := client.CacheEvents(ctx, target, 0)
	assert.NilError(t, err)
	assert.Assert(t, len(events.Events) > 0)
	assert.Equal(t, events.Events[0].Sequence, int64(1))
	assert.Equal(t, events.Events[0].Kind, engine.EventStored)

	prefix, err := client.ExportCache(ctx, target, "p")
	assert.NilError(t, err)
	assert.NilError(t, client.ReleaseCache(ctx, target, "p"))
	assert.ErrorIs(t, client.ReleaseCache(ctx, target, "p"), engine.ErrNotFound)
	assert.NilError(t, client.ImportCache(ctx, target, "p", prefix))
	assert.NilError(t, client.ReleaseCache(ctx, target, "p"))

	order := engine.Order{Kind: engine.OrderLoadModel, Target: "m", Fence: 2}
	assert.NilError(t, client.Order(ctx, target, order))
	order.Fence = 1
	assert.ErrorIs(t, client.Order(ctx, target, order), engine.ErrStaleFence)
	serving, err := client.Serving(ctx, target)
	assert.NilError(t, err)
	assert.DeepEqual(t, serving, engine.Serving{Fence: 2, Models: []string{"m"}})
	assert.ErrorIs(t, client.CancelRequest(ctx, target, "unknown"), engine.ErrNotFound)
}

// count reads a complete response and counts its chunks.
func count(t *testing.T, s *engine.Stream) int {
	t.Helper()
	defer s.Close()
	for n := 0; ; n++ {
		_, err := s.Next()
		if errors.Is(err, io.EOF) {
			return n
		}
		assert.NilError(t, err)
	}
}
