// Package logs writes log lines without ever holding up their writers.
package logs

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/buckthorntide/buckthorntide/group"
)

// Writer passes lines on to an output from a goroutine of its own. Lines that
// come faster than the output takes them are counted and left out. It is safe
// for concurrent use.
type Writer struct {
	out   io.Writer
	lines chan []byte
	lost  atomic.Int64
	group *group.Group
	once  sync.Once
	ended chan struct{}
}

// NewWriter returns a writer that holds up to the number of lines.
func NewWriter(out io.Writer, capacity int) *Writer {
	w := &Writer{
		out:   out,
		lines: make(chan []byte, capacity),
		group: group.NewGroup(context.Background()),
		ended: make(chan struct{}),
	}
	w.group.Go(w.run)
	return w
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.lost.Add(1)
	}
	return len(line), nil
}

// Lost returns how many lines were left out since the last report of them.
func (w *Writer) Lost() int64 { return w.lost.Load() }

// Close writes what is held and waits for it.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.ended) })
	w.group.Wait()
	w.group.Close()
}

func (w *Writer) run(context.Context) {
	for {
		select {
		case line := <-w.lines:
			w.pass(line)
		case <-w.ended:
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.pass(line)
		default:
			return
		}
	}
}

// pass writes one line, and before it how many were left out. An output that
// fails has nowhere to report to, so its error is dropped.
func (w *Writer) pass(line []byte) {
	if lost := w.lost.Swap(0); lost > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@module\":\"logs\",\"@message\":\"Log lines were left out.\",\"lines\":%d}\n", lost)
	}
	_, _ = w.out.Write(line)
}
