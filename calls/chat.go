package calls

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/prog"
)

const (
	// ErrBadRequest means that a request body is malformed.
	ErrBadRequest = errors.ConstError("bad request body")

	// defaultMaxTokens limits an answer if the caller sends no max_tokens.
	defaultMaxTokens = 1024
	// minBytesPerToken is the assumed minimum size of a prompt token; it is
	// small so that prompt sizes are rarely underestimated.
	minBytesPerToken = 2
	roleAssistant    = "assistant"
)

type (
	// ChatRequest is a caller's chat completion request. In a program,
	// Messages holds only the new messages; the history comes from the home.
	ChatRequest struct {
		Model     string
		Messages  []prog.Message
		Stream    bool
		MaxTokens int64
		// extra holds the fields that are forwarded unchanged.
		extra map[string]json.RawMessage
	}

	chatFields struct {
		Model     string            `json:"model"`
		Messages  []json.RawMessage `json:"messages"`
		Stream    bool              `json:"stream"`
		MaxTokens int64             `json:"max_tokens"`
	}

	roleField struct {
		Role string `json:"role"`
	}

	streamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	}
)

// ParseChatRequest parses and validates a caller's body. Fields that it doesn't
// know are forwarded to the engine.
func ParseChatRequest(body []byte) (*ChatRequest, error) {
	var fields chatFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.WithType(err, ErrBadRequest)
	}
	if fields.Model == "" || len(fields.Messages) == 0 || fields.MaxTokens < 0 {
		return nil, errors.WithType(errors.New("model or messages missing, or max_tokens negative"), ErrBadRequest)
	}
	q := &ChatRequest{Model: fields.Model, Stream: fields.Stream, MaxTokens: fields.MaxTokens}
	if q.MaxTokens == 0 {
		q.MaxTokens = defaultMaxTokens
	}
	for _, raw := range fields.Messages {
		var role roleField
		if err := json.Unmarshal(raw, &role); err != nil {
			return nil, errors.WithType(err, ErrBadRequest)
		}
		q.Messages = append(q.Messages, prog.Message{Role: role.Role, Body: raw})
	}
	if err := json.Unmarshal(body, &q.extra); err != nil {
		return nil, errors.WithType(err, ErrBadRequest)
	}
	for _, name := range []string{"model", "messages", "stream", "max_tokens", "stream_options", "priority"} {
		delete(q.extra, name)
	}
	return q, nil
}

// EngineBody returns the request body for an engine: the program's history
// followed by the new messages, always with streaming on.
func (q *ChatRequest) EngineBody(history []prog.Message, maxTokens int64) ([]byte, error) {
	fields := make(map[string]any, len(q.extra)+5)
	for name, value := range q.extra {
		fields[name] = value
	}
	messages := make([]json.RawMessage, 0, len(history)+len(q.Messages))
	for _, m := range history {
		messages = append(messages, m.Body)
	}
	for _, m := range q.Messages {
		messages = append(messages, m.Body)
	}
	fields["model"] = q.Model
	fields["messages"] = messages
	fields["stream"] = true
	fields["stream_options"] = streamOptions{IncludeUsage: true}
	fields["max_tokens"] = maxTokens
	return json.Marshal(fields)
}

// PromptTokens estimates the token count of the new messages.
func (q *ChatRequest) PromptTokens() int64 {
	var bytes int64
	for _, m := range q.Messages {
		bytes += int64(len(m.Body))
	}
	return bytes / minBytesPerToken
}
