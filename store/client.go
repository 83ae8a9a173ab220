package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/group"
)

const (
	// DefaultAttempts is how often a request is tried.
	DefaultAttempts = 3

	retryPause      = 20 * time.Millisecond
	maxIdleConns    = 32
	idleConnTimeout = 30 * time.Second
	maxReplyBytes   = 64 << 20
)

// Client is the platform over HTTP/JSON. It is safe for concurrent use.
type Client struct {
	base      string
	timeout   time.Duration
	attempts  int
	http      *http.Client
	transport *http.Transport
}

// NewClient returns a client of the platform at the address, as IP:port. The
// timeout bounds one attempt; DefaultAttempts are made.
func NewClient(address string, timeout time.Duration) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &Client{
		base:      "http://" + address,
		timeout:   timeout,
		attempts:  DefaultAttempts,
		http:      &http.Client{Transport: transport},
		transport: transport,
	}
}

// Close drops idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Get returns a row, or ErrNotFound or ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.read(ctx, call{method: http.MethodPost, path: PathGet, body: GetRequest{Key: key}}, &row)
	return row, err
}

// Range returns up to limit rows whose key has the prefix and sorts after the
// key after, in key order.
func (c *Client) Range(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var reply RangeReply
	body := RangeRequest{Prefix: prefix, After: after, Limit: limit}
	err := c.read(ctx, call{method: http.MethodPost, path: PathRange, body: body}, &reply)
	return reply.Rows, err
}

// PutObject stores an object in place of any former one.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	return c.read(ctx, call{method: http.MethodPut, path: objectPath(name), raw: body}, nil)
}

// GetObject returns an object, or ErrNotFound or ErrUnavailable.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	answer := c.retry(ctx, call{method: http.MethodGet, path: objectPath(name)})
	return answer.body, answer.readError()
}

// ListObjects returns the names that have the prefix, sorted.
func (c *Client) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	var reply ObjectList
	path := PathObjects + "?prefix=" + url.QueryEscape(prefix)
	err := c.read(ctx, call{method: http.MethodGet, path: path}, &reply)
	return reply.Names, err
}

// DeleteObject removes an object; one that does not exist is no error.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	return c.read(ctx, call{method: http.MethodDelete, path: objectPath(name)}, nil)
}

// ListInstances returns the platform's lagging list of instances.
func (c *Client) ListInstances(ctx context.Context) ([]Instance, error) {
	var reply InstanceList
	err := c.read(ctx, call{method: http.MethodGet, path: PathInstances}, &reply)
	return reply.Instances, err
}

// Announce puts this instance on the list or marks it as leaving.
func (c *Client) Announce(ctx context.Context, instance Instance) error {
	return c.read(ctx, call{method: http.MethodPost, path: PathInstances, body: instance}, nil)
}

func objectPath(name string) string { return PathObjects + "/" + url.PathEscape(name) }

// call is one request to the platform; raw goes as it is, body as JSON.
type call struct {
	method string
	path   string
	body   any
	raw    []byte
}

// answer is what became of one attempt, or of the last of several.
type answer struct {
	status int
	body   []byte
	err    error
	// unsent says that the request surely did not reach the platform.
	unsent bool
}

func (a answer) readError() error {
	switch {
	case a.err != nil:
		return errors.Annotate(ErrUnavailable, a.err.Error())
	case a.status == http.StatusNotFound:
		return ErrNotFound
	case a.status >= http.StatusMultipleChoices:
		return errors.Annotatef(ErrUnavailable, "status %d", a.status)
	}
	return nil
}

// settled says that the platform has answered for good.
func (a answer) settled() bool {
	return a.err == nil && a.status < http.StatusInternalServerError
}

// read makes a call that may be repeated and decodes its answer.
func (c *Client) read(ctx context.Context, call call, into any) error {
	answer := c.retry(ctx, call)
	if err := answer.readError(); err != nil {
		return err
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(answer.body, into); err != nil {
		return errors.Annotate(ErrUnavailable, err.Error())
	}
	return nil
}

func (c *Client) retry(ctx context.Context, call call) answer {
	var last answer
	for attempt := range c.attempts {
		if attempt > 0 && !c.pause(ctx, attempt) {
			return last
		}
		last = c.attempt(ctx, call)
		if last.settled() {
			return last
		}
	}
	return last
}

// pause waits before a further attempt, longer each time and with jitter.
func (c *Client) pause(ctx context.Context, attempt int) bool {
	most := retryPause << attempt
	return group.Sleep(ctx, most/2+rand.N(most/2))
}

func (c *Client) attempt(ctx context.Context, call call) answer {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := c.request(ctx, call)
	if err != nil {
		return answer{err: err, unsent: true}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer{err: err, unsent: isDialError(err)}
	}
	defer response.Body.Close() //nolint:errcheck // The body has been read.
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return answer{err: err}
	}
	return answer{status: response.StatusCode, body: body}
}

func (c *Client) request(ctx context.Context, call call) (*http.Request, error) {
	body := call.raw
	if call.body != nil {
		encoded, err := json.Marshal(call.body)
		if err != nil {
			return nil, err
		}
		body = encoded
	}
	return http.NewRequestWithContext(ctx, call.method, c.base+call.path, bytes.NewReader(body))
}

// isDialError says that no connection was made, so that nothing was sent.
func isDialError(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}
