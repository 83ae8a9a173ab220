package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/logs"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

func TestStuckOutputHoldsNobodyUp(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := logs.NewWriter(out, 10)
	start := time.Now()
	for range 1000 {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) < time.Second)
	assert.Assert(t, w.Lost() >= 980)
	close(out.release)
	w.Close()
	assert.Assert(t, strings.Contains(out.got.String(), "left out"))
	assert.Assert(t, strings.Count(out.got.String(), "line\n") >= 10)
}

func TestCloseWritesWhatIsHeld(t *testing.T) {
	var out bytes.Buffer
	w := logs.NewWriter(&out, 100)
	for range 50 {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	w.Close()
	assert.Equal(t, strings.Count(out.String(), "line\n"), 50)
}
