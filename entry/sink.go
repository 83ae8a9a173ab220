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
	// eventSink streams an answer as server-sent events as its chunks arrive.
	eventSink struct {
		writer         http.ResponseWriter
		control        *http.ResponseController
		headersWritten bool
	}

	// jsonSink writes an answer as one JSON object once it is complete.
	jsonSink struct {
		writer http.ResponseWriter
		model  string
		id     string
	}

	chatResponse struct {
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

// Begin writes the response headers.
func (s *eventSink) Begin(turn int) {
	s.headersWritten = true
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	if turn > 0 {
		header.Set(turnHeader, strconv.Itoa(turn))
	}
	s.writer.WriteHeader(http.StatusOK)
}

// Chunk writes one event and flushes it.
func (s *eventSink) Chunk(data []byte) error {
	if err := s.writeEvent(data); err != nil {
		return err
	}
	return s.control.Flush()
}

// Finish writes an SSE comment, which clients ignore, that reports whether the
// turn is kept, and then the [DONE] event.
func (s *eventSink) Finish(result calls.Result) {
	if result.Replayed {
		_ = s.writeEvent(replayChunk(result))
	}
	_, _ = fmt.Fprintf(s.writer, ": turn=%d kept=%t replayed=%t\n\n", result.Turn, result.Kept, result.Replayed)
	_ = s.Chunk([]byte("[DONE]"))
}

// writeError writes the refusal as the last event of an incomplete stream. No
// [DONE] event follows it.
func (s *eventSink) writeError(r *calls.Refusal) {
	body, err := json.Marshal(refusalBody{Error: r})
	if err == nil {
		_ = s.Chunk(body)
	}
}

func (s *eventSink) writeEvent(data []byte) error {
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

// Begin does nothing: the headers depend on the complete answer.
func (s *jsonSink) Begin(int) {}

// Chunk does nothing: Finish receives the assembled answer.
func (s *jsonSink) Chunk([]byte) error { return nil }

// Finish writes the headers and the complete answer.
func (s *jsonSink) Finish(result calls.Result) {
	header := s.writer.Header()
	if result.Turn > 0 {
		header.Set(turnHeader, strconv.Itoa(result.Turn))
		header.Set(keptHeader, strconv.FormatBool(result.Kept))
	}
	if result.Replayed {
		header.Set(replayedHeader, "true")
	}
	writeJSON(s.writer, http.StatusOK, chatResponse{
		ID:      s.id,
		Object:  "chat.completion",
		Model:   s.model,
		Choices: []chatChoice{{Message: result.Message.Body, FinishReason: result.Finish}},
		Usage:   result.Usage,
	})
}
