// Package caller is a client of the HTTP API that instances serve to callers.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// ErrTruncated means that a stream ended without its [DONE] event.
const ErrTruncated = errors.ConstError("stream is truncated")

type (
	// Client sends requests to one instance with one team's key.
	Client struct {
		address    string
		key        string
		httpClient *http.Client
	}

	// Request is an HTTP request; Body is encoded as JSON.
	Request struct {
		Method string
		Path   string
		// Program and CallID are sent as the headers Program-Id and
		// Idempotency-Key, unless empty.
		Program string
		CallID  string
		Header  http.Header
		Body    any
	}

	// Response is an HTTP response with its complete body.
	Response struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// RefusedError is the instance's own error response, sent instead of an
	// upstream's answer.
	RefusedError struct {
		Status int
		// Code is the machine-readable reason; Message explains it.
		Code    string `json:"code"`
		Message string `json:"message"`
		// RunState is notRun, ran or unknown.
		RunState string `json:"runState"`
	}

	refusalBody struct {
		Error RefusedError `json:"error"`
	}

	programBody struct {
		Program string `json:"program,omitempty"`
		Parent  string `json:"parent,omitempty"`
	}
)

// Error returns the code, the run state and the message on one line.
func (e *RefusedError) Error() string {
	return e.Code + " (" + e.RunState + "): " + e.Message
}

// NewClient returns a client of the instance at the address (IP:port). An
// empty key sends no Authorization header, for routes that are open to all.
func NewClient(address, key string) *Client {
	return &Client{address: address, key: key, httpClient: &http.Client{Transport: &http.Transport{}}}
}

// Close closes the idle connections; requests in flight continue.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// OpenProgram opens a program, as a sub-agent of parent if that is not empty, and
// returns its ID.
func (c *Client) OpenProgram(ctx context.Context, parent string) (string, error) {
	answer, err := c.Do(ctx, Request{Method: http.MethodPost, Path: "/v1/programs", Body: programBody{Parent: parent}})
	if err != nil {
		return "", err
	}
	var body programBody
	err = json.Unmarshal(answer.Body, &body)
	return body.Program, errors.Trace(err)
}

// CloseProgram closes a program and its sub-agents.
func (c *Client) CloseProgram(ctx context.Context, program string) error {
	_, err := c.Do(ctx, Request{Method: http.MethodDelete, Path: "/v1/programs/" + program})
	return err
}

// Do sends a request and returns the answer. If the instance refused the call,
// the error is a *RefusedError and the answer is returned too.
func (c *Client) Do(ctx context.Context, q Request) (*Response, error) {
	resp, err := c.send(ctx, q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	answer := &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}
	return answer, answer.refusal()
}

// refusal returns the answer as a *RefusedError, or nil if it isn't a refusal.
func (a *Response) refusal() error {
	if a.Status < http.StatusBadRequest {
		return nil
	}
	var body refusalBody
	if json.Unmarshal(a.Body, &body) != nil || body.Error.Code == "" {
		return nil
	}
	body.Error.Status = a.Status
	return &body.Error
}

func (c *Client) send(ctx context.Context, q Request) (*http.Response, error) {
	var body []byte
	if q.Body != nil {
		var err error
		if body, err = json.Marshal(q.Body); err != nil {
			return nil, errors.Trace(err)
		}
	}
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+c.address+q.Path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if q.Header != nil {
		r.Header = q.Header.Clone()
	}
	setHeader(r.Header, "Authorization", "Bearer ", c.key)
	setHeader(r.Header, "Program-Id", "", q.Program)
	setHeader(r.Header, "Idempotency-Key", "", q.CallID)
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.httpClient.Do(r)
	return resp, errors.Trace(err)
}

func setHeader(header http.Header, name, prefix, value string) {
	if value != "" {
		header.Set(name, prefix+value)
	}
}
