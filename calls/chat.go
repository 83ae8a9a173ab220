package calls

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/prog"
)

const (
	// ErrBadRequest says that a caller's body can't be understood.
	ErrBadRequest = errors.ConstError("bad request body")

	// defaultAnswerTokens is the most tokens of an answer where the caller
	// names no bound.
	defaultAnswerTokens = 1024
	// bytesPerToken is the fewest bytes that a prompt token is taken to have,
	// so that an estimate is rarely too low.
	bytesPerToken = 2
	roleAssistant = "assistant"
)

type (
	// ChatRequest is a caller's chat completion. Messages are only the new
	// ones where the call belongs to a program.
	ChatRequest struct {
		Model     string
		Messages  []prog.Message
		Stream    bool
		MaxTokens int64
		// rest holds the fields that are passed on as they came.
		rest map[string]json.RawMessage
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

// ParseChatRequest reads a caller's body.
func ParseChatRequest(body []byte) (*ChatRequest, error) {
	var fields chatFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.WithType(err, ErrBadRequest)
	}
	if fields.Model == "" || len(fields.Messages) == 0 || fields.MaxTokens < 0 {
		return nil, errors.WithType(errors.New("model and messages are needed"), ErrBadRequest)
	}
	q := &ChatRequest{Model: fields.Model, Stream: fields.Stream, MaxTokens: fields.MaxTokens}
	if q.MaxTokens == 0 {
		q.MaxTokens = defaultAnswerTokens
	}
	for _, raw := range fields.Messages {
		var role roleField
		if err := json.Unmarshal(raw, &role); err != nil {
			return nil, errors.WithType(err, ErrBadRequest)
		}
		q.Messages = append(q.Messages, prog.Message{Role: role.Role, Body: raw})
	}
	if err := json.Unmarshal(body, &q.rest); err != nil {
		return nil, errors.WithType(err, ErrBadRequest)
	}
	for _, name := range []string{"model", "messages", "stream", "max_tokens", "stream_options", "priority"} {
		delete(q.rest, name)
	}
	return q, nil
}

// EngineBody returns the body for an engine: the program's history, then the
// new messages, always streamed.
func (q *ChatRequest) EngineBody(history []prog.Message, maxTokens int64) ([]byte, error) {
	fields := make(map[string]any, len(q.rest)+5)
	for name, value := range q.rest {
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

// PromptTokens estimates the tokens of the new messages.
func (q *ChatRequest) PromptTokens() int64 {
	var bytes int64
	for _, m := range q.Messages {
		bytes += int64(len(m.Body))
	}
	return bytes / bytesPerToken
}
