package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/juju/errors"
)

// doneEvent is the data of the event that ends a complete stream.
const doneEvent = "[DONE]"

type (
	// ChatRequest is the request of one turn of a program; it holds only the turn's new
	// messages.
	ChatRequest struct {
		Model     string    `json:"model"`
		Messages  []Message `json:"messages"`
		MaxTokens int       `json:"max_tokens,omitempty"`
		Stream    bool      `json:"stream"`
	}

	// Message is one message of a ChatRequest or of its reply.
	Message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	// Reply is the answer to a ChatRequest.
	Reply struct {
		Text string
		// Chunks is the number of events received before [DONE].
		Chunks int
		// Turn is the value of the Program-Turn header.
		Turn string
		// Comment is the stream's last SSE comment; it reports whether the turn is
		// kept.
		Comment string
	}

	streamChunk struct {
		Choices []struct {
			Delta   Message `json:"delta"`
			Message Message `json:"message"`
		} `json:"choices"`
		Error *RefusedError `json:"error"`
	}
)

// Complete runs one turn of the program as a stream and returns the answer. A
// truncated or failed stream returns both the partial answer and an error. With
// an empty program, the call belongs to none; with an empty callID, it has no
// idempotency key and can't be sent again.
func (c *Client) Complete(ctx context.Context, program, callID string, chat ChatRequest) (*Reply, error) {
	chat.Stream = true
	resp, err := c.send(ctx, Request{
		Method:  http.MethodPost,
		Path:    "/v1/chat/completions",
		Program: program,
		CallID:  callID,
		Body:    chat,
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, readRefusal(resp)
	}
	reply := &Reply{Turn: resp.Header.Get("Program-Turn")}
	return reply, reply.readStream(bufio.NewScanner(resp.Body))
}

func (r *Reply) readStream(lines *bufio.Scanner) error {
	for lines.Scan() {
		line := lines.Text()
		if comment, ok := strings.CutPrefix(line, ": "); ok {
			r.Comment = comment
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == doneEvent {
			return nil
		}
		if err := r.addChunk(data); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return errors.WithType(err, ErrTruncated)
	}
	return ErrTruncated
}

func (r *Reply) addChunk(data string) error {
	var chunk streamChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return errors.Trace(err)
	}
	if chunk.Error != nil {
		return chunk.Error
	}
	r.Chunks++
	for _, choice := range chunk.Choices {
		r.Text += choice.Delta.Content
	}
	return nil
}

func readRefusal(resp *http.Response) error {
	var body refusalBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return errors.Annotatef(err, "status %d", resp.StatusCode)
	}
	body.Error.Status = resp.StatusCode
	return &body.Error
}
