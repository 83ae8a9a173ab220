package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/stand"
)

const (
	programHeader     = "Program-Id"
	idempotencyHeader = "Idempotency-Key"
	runStateHeader    = "Run-State"
	replayedHeader    = "Call-Replayed"
	copiedKeyHeader   = "X-Debug-Token"

	attemptTimeout = 30 * time.Second
	idleConns      = 256
	eventPrefix    = "data: "
	eventEnd       = "[DONE]"
)

type (
	// caller speaks the callers' HTTP interface.
	caller struct {
		client *http.Client
	}

	// request is one HTTP request of a caller.
	request struct {
		method  string
		address string
		path    string
		key     string
		header  http.Header
		body    []byte
	}

	// errorBody is the body of a refusal.
	errorBody struct {
		Error *errorDetail `json:"error"`
	}

	errorDetail struct {
		Code     string `json:"code"`
		RunState string `json:"runState"`
	}

	programBody struct {
		Parent  string `json:"parent,omitempty"`
		Program string `json:"program,omitempty"`
	}

	// onceReader hides the body's type, so that net/http can't send it again
	// by itself.
	onceReader struct{ io.Reader }
)

func newCaller() *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConns}
	return &caller{client: &http.Client{Transport: transport, Timeout: attemptTimeout}}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// do sends the request once and says what became of it.
func (c *caller) do(ctx context.Context, q request, within bool) attempt {
	a := attempt{sent: time.Now(), within: within, outcome: outcomeCut}
	response, err := c.send(ctx, q)
	switch {
	case isDialError(err), q.address == "":
		a.outcome = outcomeNotSent
	case err == nil:
		a.read(response)
	}
	a.done = time.Now()
	return a
}

func (a *attempt) read(response *http.Response) {
	defer func() { _ = response.Body.Close() }()
	a.replayed = response.Header.Get(replayedHeader) != ""
	if response.StatusCode >= http.StatusMultipleChoices {
		a.readRefusal(response)
		return
	}
	a.readAnswer(response)
}

func (c *caller) send(ctx context.Context, q request) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+q.address+q.path, onceReader{bytes.NewReader(q.body)})
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(q.body))
	if q.header != nil {
		r.Header = q.header
	}
	r.Header.Set("Authorization", "Bearer "+q.key)
	r.Header.Set("Content-Type", "application/json")
	return c.client.Do(r)
}

func isDialError(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

func (a *attempt) readRefusal(response *http.Response) {
	var body errorBody
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return
	}
	retry, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	a.outcome = outcomeRefused
	a.refusal = refusal{
		status:     response.StatusCode,
		runState:   response.Header.Get(runStateHeader),
		retryAfter: time.Duration(retry) * time.Second,
	}
	if body.Error != nil {
		a.refusal.code = body.Error.Code
	}
}

func (a *attempt) readAnswer(response *http.Response) {
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		a.readEvents(response.Body)
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	a.outcome = outcomeWhole
	var reply stand.ChatReply
	if json.Unmarshal(body, &reply) == nil && len(reply.Choices) > 0 && reply.Choices[0].Message != nil {
		a.answer = reply.Choices[0].Message.Content
		return
	}
	a.answer = string(body)
}

// readEvents joins the content of a stream, which is whole only at its end
// mark.
func (a *attempt) readEvents(body io.Reader) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	var text strings.Builder
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), eventPrefix)
		if !ok {
			continue
		}
		if data == eventEnd {
			a.outcome = outcomeWhole
			a.answer = text.String()
			return
		}
		if a.readEvent(data, &text) {
			return
		}
	}
}

// readEvent says whether the event is a refusal, which ends the stream.
func (a *attempt) readEvent(data string, text *strings.Builder) bool {
	var failed errorBody
	if json.Unmarshal([]byte(data), &failed) == nil && failed.Error != nil {
		a.refusal = refusal{status: http.StatusOK, code: failed.Error.Code, runState: failed.Error.RunState}
		return true
	}
	var reply stand.ChatReply
	if json.Unmarshal([]byte(data), &reply) == nil && len(reply.Choices) > 0 && reply.Choices[0].Delta != nil {
		text.WriteString(reply.Choices[0].Delta.Content)
	}
	return false
}
