package calls

import (
	"encoding/json"
	"strings"

	"github.com/buckthorntide/buckthorntide/prog"
)

type (
	// Usage is the token usage that an engine reports for a call.
	Usage struct {
		PromptTokens int64        `json:"prompt_tokens"`
		AnswerTokens int64        `json:"completion_tokens"`
		TotalTokens  int64        `json:"total_tokens"`
		CachedTokens int          `json:"cached_tokens"`
		Details      usageDetails `json:"prompt_tokens_details"`
	}

	usageDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}

	// Answer assembles the complete answer from the chunks of a stream.
	Answer struct {
		Usage  Usage
		Finish string
		text   strings.Builder
		tools  []toolCall
		chunks int
		// upstream is the upstream that completed the answer.
		upstream string
	}

	chunkBody struct {
		Choices []chunkChoice `json:"choices"`
		Usage   *Usage        `json:"usage"`
	}

	chunkChoice struct {
		Delta        chunkDelta `json:"delta"`
		FinishReason string     `json:"finish_reason"`
	}

	chunkDelta struct {
		Content   string     `json:"content"`
		ToolCalls []toolCall `json:"tool_calls"`
	}

	// toolCall is a tool call of an answer, or a fragment of one in a
	// chunk.
	toolCall struct {
		Index    int          `json:"index"`
		ID       string       `json:"id,omitempty"`
		Type     string       `json:"type,omitempty"`
		Function toolFunction `json:"function"`
	}

	toolFunction struct {
		Name      string `json:"name,omitempty"`
		Arguments string `json:"arguments"`
	}

	answerMessage struct {
		Role      string     `json:"role"`
		Content   string     `json:"content"`
		ToolCalls []toolCall `json:"tool_calls,omitempty"`
	}
)

// cachedTokens returns the number of prompt tokens found in the engine's prefix
// cache; engines report it in one of two fields.
func (u *Usage) cachedTokens() int { return max(u.CachedTokens, u.Details.CachedTokens) }

// Add appends one chunk of a stream. A chunk that can't be parsed is ignored:
// it is relayed to the caller unchanged, so it isn't an error here.
func (a *Answer) Add(data []byte) {
	a.chunks++
	var body chunkBody
	if json.Unmarshal(data, &body) != nil {
		return
	}
	for _, c := range body.Choices {
		a.text.WriteString(c.Delta.Content)
		for _, piece := range c.Delta.ToolCalls {
			a.mergeToolCall(piece)
		}
		if c.FinishReason != "" {
			a.Finish = c.FinishReason
		}
	}
	if body.Usage != nil {
		a.Usage = *body.Usage
	}
}

// Text returns the text received so far.
func (a *Answer) Text() string { return a.text.String() }

// Message returns the answer as a message of the program's history.
func (a *Answer) Message() prog.Message {
	body, err := json.Marshal(answerMessage{Role: roleAssistant, Content: a.Text(), ToolCalls: a.tools})
	if err != nil {
		// Unreachable: strings and numbers always encode.
		panic(err)
	}
	return prog.Message{Role: roleAssistant, Body: body}
}

// mergeToolCall appends a fragment to the tool call with the same index.
func (a *Answer) mergeToolCall(piece toolCall) {
	for i := range a.tools {
		t := &a.tools[i]
		if t.Index == piece.Index {
			t.Function.Name += piece.Function.Name
			t.Function.Arguments += piece.Function.Arguments
			return
		}
	}
	a.tools = append(a.tools, piece)
}

// fillUsage fills in the token counts that the engine didn't report: the prompt
// by its estimate, the answer by its number of chunks.
func (a *Answer) fillUsage(promptEstimate int64) {
	if a.Usage.PromptTokens == 0 {
		a.Usage.PromptTokens = promptEstimate
	}
	if a.Usage.AnswerTokens == 0 {
		a.Usage.AnswerTokens = int64(a.chunks)
	}
}
