package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/buckthorntide/buckthorntide/calls"
)

const (
	turnHeader     = "Program-Turn"
	keptHeader     = "Turn-Kept"
	replayedHeader = "Call-Replayed"
)

type (
	// eventSink writes an answer as server-sent events while it comes in.
	eventSink struct {
		writer  http.ResponseWriter
		control *http.ResponseController
		begun   bool
	}

	// wholeSink writes an answer as one JSON object once it is whole.
	wholeSink struct {
		writer http.ResponseWriter
		model  string
		id     string
	}

	chatAnswer struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Model   string       `json:"model"`
		Choices []chatChoice `json:"choices"`
		Usage   calls.Usage  `json:"usage"`
	}

	chatChoice struct {
		Index        int             `json:"index"`
		Message      json.RawMessage `json:"message"`
		FinishReason string          `json:"finish_reason"`
	}

	deltaChunk struct {
		Object  string        `json:"object"`
		Choices []deltaChoice `json:"choices"`
		Usage   calls.Usage   `json:"usage"`
	}

	deltaChoice struct {
		Index        int             `json:"index"`
		Delta        json.RawMessage `json:"delta"`
		FinishReason string          `json:"finish_reason"`
	}
)

func newEventSink(w http.ResponseWriter) *eventSink {
	return &eventSink{writer: w, control: http.NewResponseController(w)}
}

// Begin writes the headers.
func (s *eventSink) Begin(turn int) {
	s.begun = true
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	if turn > 0 {
		header.Set(turnHeader, strconv.Itoa(turn))
	}
	s.writer.WriteHeader(http.StatusOK)
}

// Chunk writes one event and sends it at once.
func (s *eventSink) Chunk(data []byte) error {
	if err := s.event(data); err != nil {
		return err
	}
	return s.control.Flush()
}

// Finish writes whether the turn is kept as a comment, which clients skip,
// and then the end mark.
func (s *eventSink) Finish(result calls.Result) {
	if result.Replayed {
		_ = s.event(replayChunk(result))
	}
	_, _ = fmt.Fprintf(s.writer, ": turn=%d kept=%t replayed=%t\n\n", result.Turn, result.Kept, result.Replayed)
	_ = s.Chunk([]byte("[DONE]"))
}

// refuse ends a stream that can't be made whole: there is no end mark after
// the error.
func (s *eventSink) refuse(r *calls.Refusal) {
	body, err := json.Marshal(refusalBody{Error: r})
	if err == nil {
		_ = s.Chunk(body)
	}
}

func (s *eventSink) event(data []byte) error {
	for _, part := range [][]byte{[]byte("data: "), data, []byte("\n\n")} {
		if _, err := s.writer.Write(part); err != nil {
			return err
		}
	}
	return nil
}

func replayChunk(result calls.Result) []byte {
	body, err := json.Marshal(deltaChunk{
		Object:  "chat.completion.chunk",
		Choices: []deltaChoice{{Delta: result.Message.Body, FinishReason: result.Finish}},
		Usage:   result.Usage,
	})
	if err != nil {
		return []byte("{}")
	}
	return body
}

// Begin does nothing: the headers depend on the whole answer.
func (s *wholeSink) Begin(int) {}

// Chunk does nothing: the answer is put together by the call.
func (s *wholeSink) Chunk([]byte) error { return nil }

// Finish writes the whole answer.
func (s *wholeSink) Finish(result calls.Result) {
	header := s.writer.Header()
	if result.Turn > 0 {
		header.Set(turnHeader, strconv.Itoa(result.Turn))
		header.Set(keptHeader, strconv.FormatBool(result.Kept))
	}
	if result.Replayed {
		header.Set(replayedHeader, "true")
	}
	writeJSON(s.writer, http.StatusOK, chatAnswer{
		ID:      s.id,
		Object:  "chat.completion",
		Model:   s.model,
		Choices: []chatChoice{{Message: result.Message.Body, FinishReason: result.Finish}},
		Usage:   result.Usage,
	})
}
