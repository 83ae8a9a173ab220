// Package caller is a client of the interface that instances offer to callers.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// ErrTruncated says that a stream ended without its end mark.
const ErrTruncated = errors.ConstError("stream is truncated")

type (
	// Client calls one instance with one team's key.
	Client struct {
		address string
		key     string
		http    *http.Client
	}

	// Request is one HTTP request.
	Request struct {
		Method string
		Path   string
		// Program and CallID are left out of the headers when empty.
		Program string
		CallID  string
		Header  http.Header
		Body    any
	}

	// Answer is a whole answer.
	Answer struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// RefusedError is an answer that says why a call got no answer of an
	// upstream.
	RefusedError struct {
		Status int
		// Code and Message say why.
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

// Error returns the refusal as one line.
func (e *RefusedError) Error() string {
	return e.Code + " (" + e.RunState + "): " + e.Message
}

// NewClient returns a client of the instance at the address (IP:port). An
// empty key is for routes that are open to all.
func NewClient(address, key string) *Client {
	return &Client{address: address, key: key, http: &http.Client{Transport: &http.Transport{}}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Open opens a program, or a sub-agent of parent where that is not empty.
func (c *Client) Open(ctx context.Context, parent string) (string, error) {
	answer, err := c.Do(ctx, Request{Method: http.MethodPost, Path: "/v1/programs", Body: programBody{Parent: parent}})
	if err != nil {
		return "", err
	}
	var body programBody
	err = json.Unmarshal(answer.Body, &body)
	return body.Program, errors.Trace(err)
}

// End ends a program and its sub-agents.
func (c *Client) End(ctx context.Context, program string) error {
	_, err := c.Do(ctx, Request{Method: http.MethodDelete, Path: "/v1/programs/" + program})
	return err
}

// Do sends a request and returns the whole answer, or a *RefusedError.
func (c *Client) Do(ctx context.Context, q Request) (*Answer, error) {
	resp, err := c.send(ctx, q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	answer := &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}
	return answer, answer.refusal()
}

// refusal returns the refusal that the answer is, or nil.
func (a *Answer) refusal() error {
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
	resp, err := c.http.Do(r)
	return resp, errors.Trace(err)
}

func setHeader(header http.Header, name, prefix, value string) {
	if value != "" {
		header.Set(name, prefix+value)
	}
}
