package stand

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// HeaderProgram names the program that a model call belongs to.
	HeaderProgram = "X-Program"

	bytesPerToken    = 4
	defaultMaxTokens = 16
	roleAssistant    = "assistant"
	digestLabel      = "digest:"
)

type (
	// Message is one message of a conversation.
	Message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	// ChatRequest is the body of a model call.
	ChatRequest struct {
		Model    string    `json:"model"`
		Messages []Message `json:"messages"`
		Stream   bool      `json:"stream"`
		// MaxTokens is the length of the answer; zero means 16.
		MaxTokens int `json:"max_tokens,omitempty"`
		// Priority orders waiting calls; a lower value runs earlier.
		Priority int `json:"priority,omitempty"`
	}

	// ChatUsage counts a call's tokens.
	ChatUsage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
		// CachedTokens is the part of the prompt found in the cache.
		CachedTokens int `json:"cached_tokens"`
	}

	// ChatChoice is the one answer of a ChatReply; Delta stands in chunks of
	// a stream, Message in whole answers.
	ChatChoice struct {
		Index        int      `json:"index"`
		Message      *Message `json:"message,omitempty"`
		Delta        *Message `json:"delta,omitempty"`
		FinishReason *string  `json:"finish_reason"`
	}

	// ChatReply is a whole answer or one chunk of a stream.
	ChatReply struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Model   string       `json:"model"`
		Choices []ChatChoice `json:"choices"`
		Usage   *ChatUsage   `json:"usage,omitempty"`
	}
)

// Tokens returns the message's length in tokens.
func (m Message) Tokens() int {
	return (len(m.Content) + bytesPerToken - 1) / bytesPerToken
}

// AnswerDigest is what every answer begins with: it depends on the program
// and on each message, so that a mixed or shortened history shows.
func AnswerDigest(program string, messages []Message) string {
	hash := xxhash.New()
	_, _ = hash.WriteString(program)
	for _, m := range messages {
		_, _ = fmt.Fprintf(hash, "\x00%s\x01%s", m.Role, m.Content)
	}
	return fmt.Sprintf("%s%016x", digestLabel, hash.Sum64())
}

// Answer returns the chunks of the answer to a request: the digest, the number
// of messages, and one word for each further token.
func Answer(program string, messages []Message, tokens int) []string {
	chunks := []string{AnswerDigest(program, messages), fmt.Sprintf(" messages:%d", len(messages))}
	for i := len(chunks); i < tokens; i++ {
		chunks = append(chunks, fmt.Sprintf(" w%02d", i%100))
	}
	return chunks
}

// AnswerText returns the whole answer to a request; zero tokens mean 16.
func AnswerText(program string, messages []Message, tokens int) string {
	if tokens == 0 {
		tokens = defaultMaxTokens
	}
	return strings.Join(Answer(program, messages, tokens), "")
}
