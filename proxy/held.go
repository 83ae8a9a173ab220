package proxy

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/memory"
)

const (
	// firstBuffer is the size of the first buffer for bytes of unknown length.
	firstBuffer = 512
	// evictionTime bounds the wait for the memory of evicted requests. They end as soon as
	// their goroutines run.
	evictionTime = 250 * time.Millisecond
	// memoryRetryAfter is sent to callers that were refused for want of memory: callers that
	// hold it without progress can be evicted after a second.
	memoryRetryAfter = 300 * time.Millisecond
)

// reserve waits until the request may use that many more bytes, or returns why it may not.
func (x *exchange) reserve(bytes int) error {
	if bytes <= 0 {
		return nil
	}
	wait, err := x.held.Reserve(bytes, common.Uptime())
	if wait == nil {
		return x.noteReserved(err)
	}
	timer := time.NewTimer(evictionTime)
	defer timer.Stop()
	for wait != nil {
		expired := false
		select {
		case <-wait:
		case <-timer.C:
			expired = true
		}
		x.held.Withdraw(bytes)
		if expired {
			return x.noteReserved(memory.ErrRefused)
		}
		wait, err = x.held.Reserve(bytes, common.Uptime())
	}
	return x.noteReserved(err)
}

// noteReserved counts a refused reservation.
func (x *exchange) noteReserved(err error) error {
	if errors.Is(err, memory.ErrRefused) {
		x.proxy.meter.memoryRefused.Inc(1)
	}
	return err
}

// lacksMemory reports whether the error says that a request has no memory.
func lacksMemory(err error) bool {
	return errors.Is(err, memory.ErrRefused) || errors.Is(err, memory.ErrEvicted)
}

// readReserved reads until the end of the reader, or until it has limit bytes. Its buffer
// grows in reserved steps up to the limit. Bytes of a known length need no copy if they are
// few; expected is negative if the length is unknown. On errors it returns what was read.
func (x *exchange) readReserved(r io.Reader, expected int64, limit int) ([]byte, error) {
	size := firstBuffer
	if expected >= 0 {
		size = int(min(expected, memory.SmallBytes))
	}
	buffer, err := x.grow(nil, min(size, limit))
	for err == nil && len(buffer) < limit {
		if len(buffer) == cap(buffer) {
			next := max(2*cap(buffer), firstBuffer)
			if next+firstBuffer > limit {
				// Another step for the last few bytes would need twice the memory.
				next = limit
			}
			if buffer, err = x.grow(buffer, next); err != nil {
				break
			}
		}
		var n int
		n, err = r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if n > 0 {
			x.held.Progress(common.Uptime())
		}
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return buffer, err
}

// grow returns a copy of the buffer with that capacity. While it copies, both are reserved.
func (x *exchange) grow(buffer []byte, capacity int) ([]byte, error) {
	if err := x.reserve(capacity); err != nil {
		return buffer, err
	}
	grown := append(make([]byte, 0, capacity), buffer...)
	if cap(buffer) > 0 {
		x.held.Release(cap(buffer))
	}
	return grown, nil
}

// refuseMemory refuses a request that has no memory before it was sent anywhere.
func (x *exchange) refuseMemory(err error) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: memoryRetryAfter}
}

// refuseUnread refuses a request that has no memory for the rest of its body. Its connection
// is closed.
func (x *exchange) refuseUnread(err error) *refusal {
	if x.held.Evicted() {
		x.proxy.meter.memoryYielded.Inc(1)
		err = memory.ErrEvicted
	}
	// The server would wait for the rest of the body before it closes the connection.
	if deadlineErr := http.NewResponseController(x.w).SetReadDeadline(time.Now()); deadlineErr != nil {
		return &refusal{reason: err.Error() + "; the caller's connection can't be bounded: " + deadlineErr.Error(), abort: true}
	}
	x.w.Header().Set("Connection", "close")
	return x.refuseMemory(err)
}

// stopReading is called when the request is evicted while its body is read.
func (x *exchange) stopReading() {
	// A connection without deadlines has none to end the read; the reader learns of the
	// eviction at its next reservation.
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Unix(1, 0))
}

// appendOutput keeps the event's data as output of the turn.
func (x *exchange) appendOutput(data []byte) error {
	need := len(x.output) + len(data) + 1
	if need > maxTurnOutput {
		return errTurnTooLarge
	}
	if need > cap(x.output) {
		grown, err := x.grow(x.output, min(max(need, 2*cap(x.output), firstBuffer), maxTurnOutput))
		if err != nil {
			return err
		}
		x.output = grown
	}
	x.held.Progress(common.Uptime())
	x.output = append(append(x.output, data...), '\n')
	return nil
}
