package logs_test

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/logs"
)

// blockedOutput blocks every write until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *blockedOutput) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// TestBlockedOutputDoesNotBlockWriters guards against a blocked log output that
// stalls the callers, and against dropped lines that aren't counted.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := logs.NewWriter(out, 10)
	start := time.Now()
	for range 1000 {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) < time.Second)
	close(out.release)
	w.Close()
	// Every line is either written or counted as dropped.
	written := strings.Count(out.got.String(), "line\n")
	dropped := int(w.Dropped())
	for _, m := range regexp.MustCompile(`"lines":(\d+)`).FindAllStringSubmatch(out.got.String(), -1) {
		n, err := strconv.Atoi(m[1])
		assert.NilError(t, err)
		dropped += n
	}
	assert.Equal(t, written+dropped, 1000)
	assert.Assert(t, written >= 10 && dropped >= 980, "%d written, %d dropped", written, dropped)
}

func TestCloseWritesBufferedLines(t *testing.T) {
	var out bytes.Buffer
	w := logs.NewWriter(&out, 100)
	for range 50 {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	w.Close()
	assert.Equal(t, strings.Count(out.String(), "line\n"), 50)
}
