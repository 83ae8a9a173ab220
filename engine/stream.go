package engine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"
)

const (
	// MaxEventBytes bounds the size of one event of a stream.
	MaxEventBytes = 1 << 20
	// MaxPendingChunks bounds how many chunks may arrive before a missing one.
	MaxPendingChunks = 64

	readBufferBytes = 16 << 10
	noIndex         = -1
	jsonSeparators  = " \t:"
)

var (
	prefixData  = []byte("data:")
	prefixID    = []byte("id:")
	doneMarker  = []byte("[DONE]")
	finishField = []byte(`"finish_reason"`)
	nullValue   = []byte("null")
)

type (
	// Chunk is one event of a stream.
	Chunk struct {
		// Index is the chunk's position in the request's stream, from zero.
		Index int
		// Data is the event's data. It is valid until the next call of Next.
		Data []byte
	}

	// Stream returns the complete events of an SSE response in order, each once.
	// A truncated response ends in an error, never in io.EOF. It is not safe
	// for concurrent use.
	Stream struct {
		body    io.ReadCloser
		reader  *bufio.Reader
		buffer  []byte
		next    int
		pending map[int][]byte
		ended   bool
		// finished is set once a chunk carried a finish reason.
		finished bool
	}

	// event is one SSE event as received.
	event struct {
		index int
		data  []byte
	}
)

// NewStream returns a stream that reads events from body and starts at the chunk
// with index next; no earlier chunk may have carried the finish reason. Events
// have their index in the SSE field id; without one, they count up.
func NewStream(body io.ReadCloser, next int) *Stream {
	return &Stream{
		body:   body,
		reader: bufio.NewReaderSize(body, readBufferBytes),
		next:   next,
	}
}

// Next returns the next chunk, or io.EOF after the end marker of a complete
// response: a chunk carried a finish reason and none is missing.
func (s *Stream) Next() (Chunk, error) {
	if chunk, ok := s.takePending(); ok {
		return chunk, nil
	}
	for !s.ended {
		e, err := s.readEvent()
		if err != nil {
			return Chunk{}, err
		}
		if bytes.Equal(e.data, doneMarker) {
			return Chunk{}, s.end()
		}
		if e.index == noIndex {
			e.index = s.next
		}
		if e.index == s.next {
			return s.emit(e.data), nil
		}
		if err := s.addPending(e); err != nil {
			return Chunk{}, err
		}
	}
	return Chunk{}, s.end()
}

// NextIndex returns the index of the next chunk, which is where a resumed stream
// continues.
func (s *Stream) NextIndex() int { return s.next }

// Finished reports whether a chunk has carried a finish reason. Nothing is left
// to resume then.
func (s *Stream) Finished() bool { return s.finished }

// Close ends the stream and frees its connection.
func (s *Stream) Close() error { return errors.Trace(s.body.Close()) }

func (s *Stream) end() error {
	s.ended = true
	if len(s.pending) > 0 {
		return errors.WithType(errors.Errorf("chunk %d is missing", s.next), ErrGap)
	}
	if !s.finished {
		return errors.WithType(errors.New("end mark without a finish reason"), ErrTruncated)
	}
	return io.EOF
}

// emit returns the next chunk in order and advances the index.
func (s *Stream) emit(data []byte) Chunk {
	s.finished = s.finished || hasFinishReason(data)
	s.next++
	return Chunk{Index: s.next - 1, Data: data}
}

// hasFinishReason searches for the field without parsing the JSON. It can't match
// inside a JSON string, where the quotes are escaped.
func hasFinishReason(data []byte) bool {
	_, value, found := bytes.Cut(data, finishField)
	if !found {
		return false
	}
	return !bytes.HasPrefix(bytes.TrimLeft(value, jsonSeparators), nullValue)
}

// addPending stores a chunk that arrived before its predecessors and drops a
// duplicate.
func (s *Stream) addPending(e event) error {
	if e.index < s.next {
		return nil
	}
	if len(s.pending) >= MaxPendingChunks {
		return errors.WithType(errors.Errorf("chunk %d is missing", s.next), ErrGap)
	}
	if s.pending == nil {
		s.pending = make(map[int][]byte)
	}
	s.pending[e.index] = bytes.Clone(e.data)
	return nil
}

func (s *Stream) takePending() (Chunk, bool) {
	data, ok := s.pending[s.next]
	if !ok {
		return Chunk{}, false
	}
	delete(s.pending, s.next)
	return s.emit(data), true
}

// readEvent reads up to the blank line that ends an event.
func (s *Stream) readEvent() (event, error) {
	e := event{index: noIndex}
	for {
		line, err := s.readLine()
		if err != nil {
			return e, err
		}
		if len(line) == 0 {
			if e.data != nil {
				return e, nil
			}
			continue
		}
		if data, ok := bytes.CutPrefix(line, prefixData); ok {
			e.data = s.appendData(e.data, bytes.TrimPrefix(data, []byte(" ")))
		} else if id, ok := bytes.CutPrefix(line, prefixID); ok {
			e.index = parseIndex(id)
		}
		if len(e.data) > MaxEventBytes {
			return e, errors.WithType(errors.New("read event"), ErrChunkTooLong)
		}
	}
}

// appendData joins the event's data lines in a buffer that is reused for every
// event, since the reader overwrites its own bytes on its next read.
func (s *Stream) appendData(data, line []byte) []byte {
	if data == nil {
		s.buffer = append(s.buffer[:0], line...)
		return s.buffer
	}
	s.buffer = append(s.buffer, '\n')
	s.buffer = append(s.buffer, line...)
	return s.buffer
}

func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = s.readLongLine(line)
	}
	if err != nil {
		return nil, streamError(err)
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (s *Stream) readLongLine(head []byte) ([]byte, error) {
	line := bytes.Clone(head)
	for {
		more, err := s.reader.ReadSlice('\n')
		line = append(line, more...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
		if len(line) > MaxEventBytes {
			return nil, ErrChunkTooLong
		}
	}
}

// streamError converts an end of the body before the end marker to ErrTruncated.
// It hides io.EOF, which means a complete response to the caller.
func streamError(err error) error {
	if errors.Is(err, ErrChunkTooLong) {
		return err
	}
	if errors.Is(err, io.EOF) {
		err = errors.New("end of body")
	}
	return errors.WithType(err, ErrTruncated)
}

func parseIndex(id []byte) int {
	n, err := strconv.Atoi(string(bytes.TrimSpace(id)))
	if err != nil || n < 0 {
		return noIndex
	}
	return n
}
