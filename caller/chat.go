package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/juju/errors"
)

// doneMark ends a stream.
const doneMark = "[DONE]"

type (
	// Chat is one turn of a program: only its new messages.
	Chat struct {
		Model     string    `json:"model"`
		Messages  []Message `json:"messages"`
		MaxTokens int       `json:"max_tokens,omitempty"`
		Stream    bool      `json:"stream"`
	}

	// Message is one message of a conversation.
	Message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	// Reply is a whole answer to a Chat.
	Reply struct {
		Text string
		// Chunks is the number of events of the stream.
		Chunks int
		// Turn is the Program-Turn header.
		Turn string
		// Note is the comment at the stream's end.
		Note string
	}

	chunk struct {
		Choices []struct {
			Delta   Message `json:"delta"`
			Message Message `json:"message"`
		} `json:"choices"`
		Error *RefusedError `json:"error"`
	}
)

// Complete runs one turn of the program as a stream and returns the whole
// answer. An empty program makes a call of its own; an empty callID makes a
// call that can't be sent again.
func (c *Client) Complete(ctx context.Context, program, callID string, chat Chat) (*Reply, error) {
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
	return reply, reply.read(bufio.NewScanner(resp.Body))
}

func (r *Reply) read(lines *bufio.Scanner) error {
	for lines.Scan() {
		line := lines.Text()
		if note, ok := strings.CutPrefix(line, ": "); ok {
			r.Note = note
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == doneMark {
			return nil
		}
		if err := r.add(data); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return errors.WithType(err, ErrTruncated)
	}
	return ErrTruncated
}

func (r *Reply) add(data string) error {
	var body chunk
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		return errors.Trace(err)
	}
	if body.Error != nil {
		return body.Error
	}
	r.Chunks++
	for _, choice := range body.Choices {
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
