package proxy

import (
	"bytes"
	"testing"
)

// The events that are relayed are the upstream's bytes, in order and without a
// change, whatever these are.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid:2\r\ndata\r\n\r\n"))
	f.Add([]byte("\n\n:\n\ndata: a"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		events := newEventReader(bytes.NewReader(stream))
		var relayed []byte
		for {
			ev, err := events.next()
			if err != nil {
				break
			}
			relayed = append(relayed, ev.raw...)
		}
		if !bytes.HasPrefix(stream, relayed) {
			t.Fatalf("%q is not the start of %q", relayed, stream)
		}
	})
}
