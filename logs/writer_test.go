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
	close(out.release)
	w.Close()
	// Every line is either written or counted as left out.
	written := strings.Count(out.got.String(), "line\n")
	leftOut := int(w.Lost())
	for _, m := range regexp.MustCompile(`"lines":(\d+)`).FindAllStringSubmatch(out.got.String(), -1) {
		n, err := strconv.Atoi(m[1])
		assert.NilError(t, err)
		leftOut += n
	}
	assert.Equal(t, written+leftOut, 1000)
	assert.Assert(t, written >= 10 && leftOut >= 980, "%d written, %d left out", written, leftOut)
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
