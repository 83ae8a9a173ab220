package keys

import (
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

func TestWithdrawalCancelsOnlyTheKeysStreams(t *testing.T) {
	w := NewStreamRegistry()
	_, a := testKey(CallerKind, 1)
	_, b := testKey(CallerKind, 2)
	var cancelledA, cancelledB, released int
	for range 3 {
		_, err := w.Register(a, func() { cancelledA++ })
		assert.NilError(t, err)
	}
	_, err := w.Register(b, func() { cancelledB++ })
	assert.NilError(t, err)
	release, err := w.Register(a, func() { released++ })
	assert.NilError(t, err)
	release()
	release()
	assert.Equal(t, w.Cancel([]Hash{a}), 3)
	assert.Equal(t, w.Cancel([]Hash{a}), 0)
	assert.DeepEqual(t, []int{cancelledA, cancelledB, released, w.Len()}, []int{3, 0, 0, 1})
	_, err = w.Register(a, func() { t.Error("a refused stream was cancelled") })
	assert.ErrorIs(t, err, ErrWithdrawn)
}

func TestStreamsRegisterAfterCancelAll(t *testing.T) {
	w := NewStreamRegistry()
	_, a := testKey(CallerKind, 1)
	cancelled := 0
	_, err := w.Register(a, func() { cancelled++ })
	assert.NilError(t, err)
	assert.Equal(t, w.CancelAll(), 1)
	assert.Equal(t, cancelled, 1)
	_, err = w.Register(a, func() {})
	assert.NilError(t, err)
}

// TestRegisterDuringWithdrawal registers streams while their key is withdrawn.
// Each stream must be refused or cancelled: a stream that registers after the
// withdrawal must not keep running.
func TestRegisterDuringWithdrawal(t *testing.T) {
	const streams = 200
	w := NewStreamRegistry()
	_, a := testKey(CallerKind, 1)
	var ended atomic.Int64
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			if _, err := w.Register(a, func() { ended.Add(1) }); err != nil {
				ended.Add(1)
			}
		})
	}
	wg.Go(func() { w.Cancel([]Hash{a}) })
	wg.Wait()
	assert.Equal(t, ended.Load(), int64(streams))
	assert.Equal(t, w.Len(), 0)
}
