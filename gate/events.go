package gate

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

const (
	// eventBuffer is the read buffer of one stream; events are far smaller.
	eventBuffer = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// errEventTooLarge says that an event exceeds maxEventBytes.
const errEventTooLarge = errors.ConstError("event too large")

type (
	// event is one event of a stream. Its slices are valid until the next read.
	event struct {
		// raw is the event as it came, with the empty line that ends it.
		raw []byte
		// id is empty where the event has none.
		id string
		// data joins the event's data lines by line feeds; hasData tells whether
		// there is any.
		data    []byte
		hasData bool
	}

	// eventReader splits a stream of server-sent events.
	eventReader struct {
		buffered *bufio.Reader
		raw      []byte
		data     []byte
	}
)

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{buffered: bufio.NewReaderSize(r, eventBuffer)}
}

// next returns the next whole event, io.EOF at the stream's end, and
// io.ErrUnexpectedEOF where the stream ends within an event.
func (e *eventReader) next() (event, error) {
	e.raw, e.data = e.raw[:0], e.data[:0]
	var ev event
	for {
		line, err := e.readLine()
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

// line appends one line to the event and returns it without its end.
func (e *eventReader) readLine() ([]byte, error) {
	start := len(e.raw)
	for {
		part, err := e.buffered.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		switch {
		case err == nil:
			return bytes.TrimRight(e.raw[start:], "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull) && len(e.raw) < maxEventBytes:
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errEventTooLarge
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
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
