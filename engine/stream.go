package engine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"
)

const (
	// MaxEventBytes bounds one event of a stream.
	MaxEventBytes = 1 << 20
	// MaxPendingChunks bounds how many chunks may come before a missing one.
	MaxPendingChunks = 64

	readerBytes = 16 << 10
	noIndex     = -1
	jsonBetween = " \t:"
)

var (
	prefixData  = []byte("data:")
	prefixID    = []byte("id:")
	doneMark    = []byte("[DONE]")
	finishField = []byte(`"finish_reason"`)
	nullValue   = []byte("null")
)

type (
	// Chunk is one event of a stream.
	Chunk struct {
		// Index counts the request's chunks from zero.
		Index int
		// Data is the event's data. It is valid until the next call of Next.
		Data []byte
	}

	// Stream hands out the whole events of an SSE answer in order, each once,
	// or an error: it never ends silently short. It is for one goroutine.
	Stream struct {
		body    io.ReadCloser
		reader  *bufio.Reader
		buffer  []byte
		next    int
		pending map[int][]byte
		ended   bool
		// finished says that a chunk gave the reason for the answer's end.
		finished bool
	}

	// event is one SSE event as it came.
	event struct {
		index int
		data  []byte
	}
)

// NewStream reads events from body; next is the index of the first chunk that
// is wanted, up to which the answer wasn't finished. Events carry their index in the SSE field id; those without one
// count up.
func NewStream(body io.ReadCloser, next int) *Stream {
	return &Stream{
		body:   body,
		reader: bufio.NewReaderSize(body, readerBytes),
		next:   next,
	}
}

// Next returns the next chunk, or io.EOF after the end mark of a whole answer:
// one in which a chunk gave a finish reason and none is missing.
func (s *Stream) Next() (Chunk, error) {
	if chunk, ok := s.takePending(); ok {
		return chunk, nil
	}
	for !s.ended {
		e, err := s.readEvent()
		if err != nil {
			return Chunk{}, err
		}
		if bytes.Equal(e.data, doneMark) {
			return Chunk{}, s.end()
		}
		if e.index == noIndex {
			e.index = s.next
		}
		if e.index == s.next {
			return s.hand(e.data), nil
		}
		if err := s.keep(e); err != nil {
			return Chunk{}, err
		}
	}
	return Chunk{}, s.end()
}

// NextIndex returns the index of the first chunk not yet handed out, which is
// where a resumed stream goes on.
func (s *Stream) NextIndex() int { return s.next }

// Finished says that a chunk has given the reason for the answer's end. There is
// nothing left to resume then.
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

// hand gives out the chunk whose turn it is.
func (s *Stream) hand(data []byte) Chunk {
	s.finished = s.finished || hasFinishReason(data)
	s.next++
	return Chunk{Index: s.next - 1, Data: data}
}

// hasFinishReason looks for the field without parsing. It can't match inside a
// JSON string, where the quotes would be escaped.
func hasFinishReason(data []byte) bool {
	_, value, found := bytes.Cut(data, finishField)
	if !found {
		return false
	}
	return !bytes.HasPrefix(bytes.TrimLeft(value, jsonBetween), nullValue)
}

// keep holds a chunk that came too early and drops one that came before.
func (s *Stream) keep(e event) error {
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
	return s.hand(data), true
}

// readEvent reads up to an event's blank line. Data of a single line that fits
// the reader is not copied.
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
			e.data = s.addData(e.data, bytes.TrimPrefix(data, []byte(" ")))
		} else if id, ok := bytes.CutPrefix(line, prefixID); ok {
			e.index = parseIndex(id)
		}
		if len(e.data) > MaxEventBytes {
			return e, errors.WithType(errors.New("read event"), ErrChunkTooLong)
		}
	}
}

// addData joins the event's data lines into a buffer that every event uses
// again, since the reader's own bytes go with its next read.
func (s *Stream) addData(data, line []byte) []byte {
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

// streamError says that an end before the end mark is a truncation. It hides
// io.EOF, by which callers know a whole answer.
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
