package proxy

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

func TestEvents(t *testing.T) {
	tests := []struct {
		name   string
		stream string
		raws   []string
		ids    []string
		data   []string
		err    error
	}{
		{name: "empty", err: io.EOF},
		{
			name:   "two events",
			stream: "id: 1\ndata: a\n\nid:2\ndata:b\ndata: c\n\n",
			raws:   []string{"id: 1\ndata: a\n\n", "id:2\ndata:b\ndata: c\n\n"},
			ids:    []string{"1", "2"},
			data:   []string{"a", "b\nc"},
			err:    io.EOF,
		},
		{
			name:   "other fields and line breaks are kept",
			stream: "x-version: 3\r\nid: 1\r\ndata: a\r\n\r\n",
			raws:   []string{"x-version: 3\r\nid: 1\r\ndata: a\r\n\r\n"},
			ids:    []string{"1"},
			data:   []string{"a"},
			err:    io.EOF,
		},
		{
			name:   "line breaks at the end",
			stream: "id: 1\ndata: a\n\n\n\r\n",
			raws:   []string{"id: 1\ndata: a\n\n", "\n\r\n"},
			ids:    []string{"1", ""},
			data:   []string{"a", ""},
			err:    io.EOF,
		},
		{
			name:   "a line break and a lone CR at the end",
			stream: "id: 1\ndata: a\n\n\n\r",
			raws:   []string{"id: 1\ndata: a\n\n"},
			ids:    []string{"1"},
			data:   []string{"a"},
			err:    io.ErrUnexpectedEOF,
		},
		{
			name:   "stream ends within an event",
			stream: "id: 1\ndata: a\n\nid: 2\nda",
			raws:   []string{"id: 1\ndata: a\n\n"},
			ids:    []string{"1"},
			data:   []string{"a"},
			err:    io.ErrUnexpectedEOF,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			events := newEventReader(iotest.OneByteReader(strings.NewReader(tt.stream)))
			for i := range tt.raws {
				ev, err := events.next()
				assert.NilError(t, err)
				assert.Equal(t, string(ev.raw), tt.raws[i])
				assert.Equal(t, ev.id, tt.ids[i])
				assert.Equal(t, string(ev.data), tt.data[i])
			}
			_, err := events.next()
			assert.Assert(t, errors.Is(err, tt.err), "%v", err)
		})
	}
}
