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
	maxAnswerBytes  = 64 << 20
	maxMessageBytes = 1 << 10
)

type (
	// Client speaks the engine protocol. It is safe for concurrent use.
	Client struct {
		http *http.Client
	}

	// Target is one engine and the credential that it is given.
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
		// Body is the caller's JSON object. The client adds the priority.
		Body []byte
	}
)

// NewClient returns a client that sends by the given HTTP client.
func NewClient(client *http.Client) *Client {
	return &Client{http: client}
}

// Complete runs a completion and returns its stream. On an error that is
// ErrUnreachable or ErrRefused nothing has run.
func (c *Client) Complete(ctx context.Context, t Target, completion Completion) (*Stream, error) {
	body, err := withPriority(completion.Body, completion.Priority)
	if err != nil {
		return nil, err
	}
	r, err := c.request(ctx, t, http.MethodPost, PathCompletions, body)
	if err != nil {
		return nil, err
	}
	r.Header.Set(HeaderProgram, completion.Program)
	r.Header.Set(HeaderRequestID, completion.RequestID)
	r.Header.Set("Accept", "text/event-stream")
	return c.stream(r, completion.RequestID, 0)
}

// Resume takes up the stream of a request from the chunk with index from.
func (c *Client) Resume(ctx context.Context, t Target, requestID string, from int) (*Stream, error) {
	path := PathRequests + url.PathEscape(requestID) + "/stream?from=" + strconv.Itoa(from)
	r, err := c.request(ctx, t, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	return c.stream(r, requestID, from)
}

// CancelRequest ends a running request.
func (c *Client) CancelRequest(ctx context.Context, t Target, requestID string) error {
	return c.call(ctx, t, http.MethodDelete, PathRequests+url.PathEscape(requestID), nil, nil)
}

// ListCache returns the engine's whole cache.
func (c *Client) ListCache(ctx context.Context, t Target) (CacheList, error) {
	var list CacheList
	err := c.call(ctx, t, http.MethodGet, PathCache, nil, &list)
	return list, err
}

// ReleaseCache frees a program's prefix.
func (c *Client) ReleaseCache(ctx context.Context, t Target, program string) error {
	return c.call(ctx, t, http.MethodDelete, cachePath(program, ""), nil, nil)
}

// ExportCache returns a program's prefix as opaque bytes.
func (c *Client) ExportCache(ctx context.Context, t Target, program string) ([]byte, error) {
	var raw []byte
	err := c.call(ctx, t, http.MethodPost, cachePath(program, "/export"), nil, &raw)
	return raw, err
}

// ImportCache gives an engine a prefix that another one exported.
func (c *Client) ImportCache(ctx context.Context, t Target, program string, prefix []byte) error {
	return c.call(ctx, t, http.MethodPost, cachePath(program, "/import"), prefix, nil)
}

// CacheEvents returns the events after the given sequence number. A page that
// starts later than after+1 has a gap.
func (c *Client) CacheEvents(ctx context.Context, t Target, after int64) (CacheEvents, error) {
	var page CacheEvents
	path := PathCacheEvents + "?after=" + strconv.FormatInt(after, 10)
	err := c.call(ctx, t, http.MethodGet, path, nil, &page)
	return page, err
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context, t Target) (Load, error) {
	var load Load
	err := c.call(ctx, t, http.MethodGet, PathLoad, nil, &load)
	return load, err
}

// Order gives an engine an order, or returns ErrOldFence.
func (c *Client) Order(ctx context.Context, t Target, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Trace(err)
	}
	return c.call(ctx, t, http.MethodPost, PathOrders, body, nil)
}

// Serving returns what an engine serves.
func (c *Client) Serving(ctx context.Context, t Target) (Serving, error) {
	var serving Serving
	err := c.call(ctx, t, http.MethodGet, PathOrders, nil, &serving)
	return serving, err
}

func (c *Client) request(ctx context.Context, t Target, method, path string, body []byte) (*http.Request, error) {
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

// call sends a request and decodes the answer into out: nil drops it, a
// *[]byte takes it raw, anything else is decoded as JSON.
func (c *Client) call(ctx context.Context, t Target, method, path string, body []byte, out any) error {
	r, err := c.request(ctx, t, method, path, body)
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

func (c *Client) stream(r *http.Request, requestID string, from int) (*Stream, error) {
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, transportError(err)
	}
	err = statusError(resp)
	if err == nil {
		err = ownerError(resp, requestID)
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
	raw, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
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

// closeBody reads what little is left, so that the connection can be used
// again.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxMessageBytes)
	_ = body.Close()
}
