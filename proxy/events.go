package proxy

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

const (
	// eventBuffer is the size of a stream's read buffer; events are far smaller.
	eventBuffer = 4 << 10
	// maxEventBytes bounds the size of one event, whose lines may never end.
	maxEventBytes = 256 << 10
	// eventCopies is how often an event is in memory while it is read: raw, its data, and
	// the copy made while one of them grows.
	eventCopies = 3
)

// errEventTooLarge is returned for an event that exceeds maxEventBytes.
const errEventTooLarge = errors.ConstError("event too large")

type (
	// event is one server-sent event. Its slices are valid until the next read.
	event struct {
		// raw is the event as received, with the empty line that ends it.
		raw []byte
		// id is empty if the event has none.
		id string
		// data joins the event's data lines with line feeds; hasData is set if it
		// has at least one.
		data    []byte
		hasData bool
	}

	// eventReader splits a stream into server-sent events.
	eventReader struct {
		buffered *bufio.Reader
		raw      []byte
		data     []byte
		// reserve reserves memory for large events, if it is set; reserved are the bytes
		// that it was asked for.
		reserve  func(bytes int) error
		reserved int
	}
)

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{buffered: bufio.NewReaderSize(r, eventBuffer)}
}

// next returns the next complete event, io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF if the stream ends within an event. Line breaks at the end
// are returned as an event without fields.
func (e *eventReader) next() (event, error) {
	e.raw, e.data = e.raw[:0], e.data[:0]
	var ev event
	for {
		line, err := e.readLine()
		if errors.Is(err, io.EOF) && len(e.raw) > 0 {
			return e.remainder()
		}
		if err != nil {
			return event{}, err
		}
		if len(line) == 0 && len(e.raw) > 2 {
			ev.raw, ev.data = e.raw, e.data
			return ev, nil
		}
		e.parseField(&ev, line)
	}
}

// readLine appends one line to the event and returns it without its line break.
func (e *eventReader) readLine() ([]byte, error) {
	start := len(e.raw)
	for {
		part, err := e.buffered.ReadSlice('\n')
		if len(e.raw)+len(part) > maxEventBytes {
			return nil, errEventTooLarge
		}
		if err := e.reserveFor(len(e.raw) + len(part)); err != nil {
			return nil, err
		}
		e.raw = append(e.raw, part...)
		switch {
		case err == nil:
			return bytes.TrimRight(e.raw[start:], "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
		default:
			return nil, err
		}
	}
}

// reserveFor reserves memory for an event of that size.
func (e *eventReader) reserveFor(size int) error {
	need := eventCopies * size
	if e.reserve == nil || size <= eventBuffer || need <= e.reserved {
		return nil
	}
	more := max(need-e.reserved, e.reserved)
	if err := e.reserve(more); err != nil {
		return err
	}
	e.reserved += more
	return nil
}

// remainder returns what the stream ended with after its last event, which may only
// be empty lines.
func (e *eventReader) remainder() (event, error) {
	if !bytes.HasSuffix(e.raw, []byte("\n")) || len(bytes.Trim(e.raw, "\r\n")) > 0 {
		return event{}, io.ErrUnexpectedEOF
	}
	return event{raw: e.raw}, nil
}

func (e *eventReader) parseField(ev *event, line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		ev.id = string(value)
	case "data":
		if ev.hasData {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
		ev.hasData = true
	}
}
