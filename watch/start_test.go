package watch_test

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/rows"
	"github.com/buckthorntide/buckthorntide/watch"
)

// TestStartReadsOnlyPartsWithRows guards against a start of the whole fleet that
// reads each part of a table: hundreds of instances then send the store thousands
// of calls within a second.
func TestStartReadsOnlyPartsWithRows(t *testing.T) {
	store := rows.NewMemory()
	_, err := store.Commit(t.Context(), rows.Txn{Writes: []rows.Write{
		{ID: rows.ID{Table: "spenders", Part: "p7", Key: "k"}, Value: []byte("1")},
	}})
	assert.NilError(t, err)
	before := store.Calls()
	watcher := watch.NewWatcher(hclog.NewNullLogger(), store, decoder{}, &peer{}, watch.Events{Works: func() {}, Lost: func() {}})
	t.Cleanup(watcher.Close)
	whole := make(chan int, 1)
	watcher.Follow("spenders", time.Minute, func(found []rows.Row) { whole <- len(found) }, func([]rows.Row) {})
	assert.Equal(t, <-whole, 1)
	// One call for the parts and one for the rows of the only one.
	assert.Equal(t, store.Calls()-before, 2)
}
