package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/juju/errors"
)

const (
	maxResponseBytes = 64 << 20
	maxMessageBytes  = 1 << 10
)

type (
	// Client is an HTTP client of the engine protocol. It is safe for concurrent
	// use.
	Client struct {
		http *http.Client
	}

	// Target is an engine's address and the credential to send to it.
	Target struct {
		// Address is the engine's IP:port.
		Address string
		// Credential is sent as a bearer token; empty sends none.
		Credential string
	}

	// Completion is one chat completion to run.
	Completion struct {
		RequestID string
		Program   string
		// Priority orders requests in the engine; a lower value runs first.
		Priority int
		// Body is the caller's JSON object; Complete adds the priority to it.
		Body []byte
	}
)

// NewClient returns a client that sends through the given HTTP client.
func NewClient(client *http.Client) *Client {
	return &Client{http: client}
}

// Complete starts a completion and returns its stream. ErrUnreachable and
// ErrRefused mean that the engine ran nothing.
func (c *Client) Complete(ctx context.Context, t Target, completion Completion) (*Stream, error) {
	body, err := withPriority(completion.Body, completion.Priority)
	if err != nil {
		return nil, err
	}
	r, err := c.newRequest(ctx, t, http.MethodPost, PathCompletions, body)
	if err != nil {
		return nil, err
	}
	r.Header.Set(HeaderProgram, completion.Program)
	r.Header.Set(HeaderRequestID, completion.RequestID)
	r.Header.Set("Accept", "text/event-stream")
	return c.openStream(r, completion.RequestID, 0)
}

// Resume reopens the stream of a request at the chunk with index from.
func (c *Client) Resume(ctx context.Context, t Target, requestID string, from int) (*Stream, error) {
	path := PathRequests + url.PathEscape(requestID) + "/stream?from=" + strconv.Itoa(from)
	r, err := c.newRequest(ctx, t, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	return c.openStream(r, requestID, from)
}

// CancelRequest ends a running request.
func (c *Client) CancelRequest(ctx context.Context, t Target, requestID string) error {
	return c.do(ctx, t, http.MethodDelete, PathRequests+url.PathEscape(requestID), nil, nil)
}

// ListCache returns the complete list of the engine's cached prefixes.
func (c *Client) ListCache(ctx context.Context, t Target) (CacheList, error) {
	var list CacheList
	err := c.do(ctx, t, http.MethodGet, PathCache, nil, &list)
	return list, err
}

// ReleaseCache frees a program's prefix.
func (c *Client) ReleaseCache(ctx context.Context, t Target, program string) error {
	return c.do(ctx, t, http.MethodDelete, cachePath(program, ""), nil, nil)
}

// ExportCache returns a program's prefix as opaque bytes.
func (c *Client) ExportCache(ctx context.Context, t Target, program string) ([]byte, error) {
	var raw []byte
	err := c.do(ctx, t, http.MethodPost, cachePath(program, "/export"), nil, &raw)
	return raw, err
}

// ImportCache loads a prefix that another engine exported.
func (c *Client) ImportCache(ctx context.Context, t Target, program string, prefix []byte) error {
	return c.do(ctx, t, http.MethodPost, cachePath(program, "/import"), prefix, nil)
}

// CacheEvents returns the events after the given sequence number. If the first
// one isn't after+1, events are missing.
func (c *Client) CacheEvents(ctx context.Context, t Target, after int64) (CacheEvents, error) {
	var page CacheEvents
	path := PathCacheEvents + "?after=" + strconv.FormatInt(after, 10)
	err := c.do(ctx, t, http.MethodGet, path, nil, &page)
	return page, err
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context, t Target) (Load, error) {
	var load Load
	err := c.do(ctx, t, http.MethodGet, PathLoad, nil, &load)
	return load, err
}

// Order sends an order to an engine. It returns ErrStaleFence if the engine has
// seen a higher fencing number.
func (c *Client) Order(ctx context.Context, t Target, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Trace(err)
	}
	return c.do(ctx, t, http.MethodPost, PathOrders, body, nil)
}

// Serving returns the engine's models, adapters, role and fencing number.
func (c *Client) Serving(ctx context.Context, t Target) (Serving, error) {
	var serving Serving
	err := c.do(ctx, t, http.MethodGet, PathOrders, nil, &serving)
	return serving, err
}

func (c *Client) newRequest(ctx context.Context, t Target, method, path string, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+t.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.Header.Set("Content-Type", "application/json")
	if t.Credential != "" {
		r.Header.Set("Authorization", "Bearer "+t.Credential)
	}
	return r, nil
}

// do sends a request and decodes the response body into out: nil discards it, a
// *[]byte receives it raw, anything else is decoded as JSON.
func (c *Client) do(ctx context.Context, t Target, method, path string, body []byte, out any) error {
	r, err := c.newRequest(ctx, t, method, path, body)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return transportError(err)
	}
	defer closeBody(resp.Body)
	if err := statusError(resp); err != nil {
		return err
	}
	return decode(resp.Body, out)
}

func (c *Client) openStream(r *http.Request, requestID string, from int) (*Stream, error) {
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, transportError(err)
	}
	err = statusError(resp)
	if err == nil {
		err = checkRequestID(resp, requestID)
	}
	if err != nil {
		closeBody(resp.Body)
		return nil, err
	}
	return NewStream(resp.Body, from), nil
}

func cachePath(program, action string) string {
	return PathCache + "/" + url.PathEscape(program) + action
}

func decode(body io.Reader, out any) error {
	raw, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		return errors.WithType(errors.Trace(err), ErrBroken)
	}
	switch out := out.(type) {
	case nil:
		return nil
	case *[]byte:
		*out = raw
		return nil
	default:
		return errors.Trace(json.Unmarshal(raw, out))
	}
}

// closeBody drains a short rest of the body, so that the connection can be
// reused.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxMessageBytes)
	_ = body.Close()
}
