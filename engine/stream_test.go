package engine_test

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntide/buckthorntide/engine"
)

func read(raw string, next int) ([]string, error) {
	s := engine.NewStream(io.NopCloser(strings.NewReader(raw)), next)
	defer s.Close()
	var out []string
	for {
		chunk, err := s.Next()
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		out = append(out, string(chunk.Data))
	}
}

const (
	last = `{"finish_reason":"stop"}`
	end  = "data: " + last + "\n\ndata: [DONE]\n\n"
)

func TestStream(t *testing.T) {
	long := strings.Repeat("x", 40_000)
	cases := []struct {
		name string
		raw  string
		next int
		want []string
		err  error
	}{
		{name: "whole", raw: "data: a\n\n" + end, want: []string{"a", last}},
		{name: "comments and carriage returns", raw: ": hi\r\ndata:a\r\n\r\n" + end, want: []string{"a", last}},
		{name: "two data lines", raw: "data: a\ndata: b\n\n" + end, want: []string{"a\nb", last}},
		{name: "longer than the read buffer", raw: "data: " + long + "\n\n" + end, want: []string{long, last}},
		{name: "usage after the finish reason", raw: "data: " + last + "\n\ndata: b\n\ndata: [DONE]\n\n", want: []string{last, "b"}},
		{name: "no end marker", raw: "data: " + last + "\n\n", want: []string{last}, err: engine.ErrTruncated},
		{name: "truncated in an event", raw: "data: a\n\ndata: b\n", want: []string{"a"}, err: engine.ErrTruncated},
		{name: "truncated end marker", raw: end[:len(end)-2], want: []string{last}, err: engine.ErrTruncated},
		{name: "empty", err: engine.ErrTruncated},
		{name: "end marker without a finish reason", raw: "data: {\"finish_reason\": null}\n\ndata: [DONE]\n\n", want: []string{`{"finish_reason": null}`}, err: engine.ErrTruncated},
		{name: "finish reason inside a string", raw: "data: {\"t\":\"\\\"finish_reason\\\":1\"}\n\ndata: [DONE]\n\n", want: []string{`{"t":"\"finish_reason\":1"}`}, err: engine.ErrTruncated},
		{name: "out of order", raw: "id: 1\ndata: b\n\nid: 0\ndata: a\n\nid: 2\n" + end, want: []string{"a", "b", last}},
		{name: "twice", raw: "id: 0\ndata: a\n\nid: 0\ndata: a\n\nid: 1\n" + end, want: []string{"a", last}},
		{name: "missing", raw: "id: 0\ndata: a\n\nid: 2\n" + end, want: []string{"a"}, err: engine.ErrGap},
		{name: "resumed", raw: "id: 1\ndata: b\n\nid: 2\n" + end, next: 2, want: []string{last}},
		{name: "event too long", raw: "data: " + strings.Repeat("x", engine.MaxEventBytes+1) + "\n\n", err: engine.ErrChunkTooLong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := read(c.raw, c.next)
			assert.DeepEqual(t, got, c.want)
			assert.Assert(t, c.err == nil && err == nil || errors.Is(err, c.err), "%v", err)
		})
	}
}

// TestStreamIsCompleteOrAnError swaps, duplicates, drops and truncates the events of
// a response, including the last one. The chunks read are always a prefix of the
// response, and an incomplete prefix ends in an error.
func TestStreamIsCompleteOrAnError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "chunks")
		want, events := make([]string, 0, n), make([]string, 0, n)
		for i := range n {
			finish := "null"
			if i == n-1 {
				finish = `"stop"`
			}
			text := rapid.StringMatching(`[a-z \\"]{0,30}`).Draw(t, "text")
			data := fmt.Sprintf(`{"n":%d,"text":%q,"finish_reason":%s}`, i, text, finish)
			want = append(want, data)
			events = append(events, fmt.Sprintf("id: %d\ndata: %s\n\n", i, data))
		}
		for range rapid.IntRange(0, 5).Draw(t, "faults") {
			events = corrupt(t, events)
		}
		raw := strings.Join(events, "") + "data: [DONE]\n\n"
		cut := rapid.IntRange(0, len(raw)).Draw(t, "cut")
		got, err := read(raw[:cut], 0)
		assert.Assert(t, len(got) <= len(want))
		assert.Assert(t, slices.Equal(got, want[:len(got)]), "%q", got)
		assert.Assert(t, err != nil || len(got) == len(want), "truncated without an error: %d of %d", len(got), len(want))
	})
}

func corrupt(t *rapid.T, events []string) []string {
	if len(events) < 2 {
		return events
	}
	i := rapid.IntRange(0, len(events)-1).Draw(t, "i")
	j := rapid.IntRange(0, len(events)-1).Draw(t, "j")
	switch rapid.IntRange(0, 2).Draw(t, "fault") {
	case 0:
		events[i], events[j] = events[j], events[i]
		return events
	case 1:
		return slices.Insert(events, i, events[j])
	default:
		return slices.Delete(events, i, i+1)
	}
}

func FuzzStream(f *testing.F) {
	f.Add("id: 1\ndata: b\n\nid: 0\ndata: a\n\ndata: [DONE]\n\n")
	f.Add("data: [DONE]")
	f.Fuzz(func(t *testing.T, raw string) {
		_, err := read(raw, 0)
		assert.Assert(t, err != nil || strings.Contains(raw, "[DONE]"), "complete without an end marker")
	})
}

func BenchmarkStream(b *testing.B) {
	event := `data: {"id":"r","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":" w12"},"finish_reason":null}]}` + "\n\n"
	raw := strings.Repeat(event, b.N) + end
	s := engine.NewStream(io.NopCloser(strings.NewReader(raw)), 0)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
