// Package logs writes log lines asynchronously, so that logging never blocks.
package logs

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/buckthorntide/buckthorntide/group"
)

// Writer copies lines to an output on a goroutine of its own. If the output is
// too slow and the buffer is full, lines are dropped and counted. It is safe for
// concurrent use.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	dropped   atomic.Int64
	group     *group.Group
	closeOnce sync.Once
	closed    chan struct{}
}

// NewWriter returns a writer that buffers up to capacity lines.
func NewWriter(out io.Writer, capacity int) *Writer {
	w := &Writer{
		out:    out,
		lines:  make(chan []byte, capacity),
		group:  group.NewGroup(context.Background()),
		closed: make(chan struct{}),
	}
	w.group.Go(w.run)
	return w
}

// Write queues one line or drops it. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many dropped lines haven't been reported yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the buffered lines and stops the writer.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.closed) })
	w.group.Wait()
	w.group.Close()
}

func (w *Writer) run(context.Context) {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.closed:
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line, after a report of dropped lines if there are any.
// Errors of the output are ignored, since there is nowhere to report them.
func (w *Writer) writeLine(line []byte) {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@module\":\"logs\",\"@message\":\"log buffer full; lines dropped\",\"lines\":%d}\n", dropped)
	}
	_, _ = w.out.Write(line)
}
