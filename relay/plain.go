// Package relay forwards calls to plain HTTP services and buffers their complete
// responses. Calls to model engines use the client in package engine.
package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrNotSent means that no byte of the request was sent to the upstream.
	ErrNotSent = errors.ConstError("request not sent")
	// ErrBroken means that the request was at least partly sent and no complete
	// response was received.
	ErrBroken = errors.ConstError("upstream broke off")
	// ErrTooLarge means that the response exceeds the buffer limit.
	ErrTooLarge = errors.ConstError("answer too large")

	// maxResponseBytes bounds a buffered response body.
	maxResponseBytes = 8 << 20
	// connectTimeout and unackedTimeout suit upstreams in any region.
	connectTimeout = time.Second
	unackedTimeout = 5 * time.Second
)

type (
	// PlainRequest is a request to a plain service.
	PlainRequest struct {
		Address    string
		Method     string
		Path       string
		Query      string
		Header     http.Header
		Body       []byte
		Credential string
		CallID     string
		// Repeatable allows the call to reuse an idle connection. If that
		// connection breaks, the upstream may or may not have run the call.
		Repeatable bool
	}

	// PlainResponse is the complete response to a PlainRequest.
	PlainResponse struct {
		Status int         `json:"status"`
		Header http.Header `json:"header"`
		Body   []byte      `json:"body"`
	}

	// PlainClient is an HTTP client for plain services. It is safe for concurrent use.
	PlainClient struct {
		pooled    *http.Client
		singleUse *http.Client
	}
)

// NewPlainClient returns a client that opens a new connection for each call that isn't
// repeatable.
func NewPlainClient() *PlainClient {
	singleUse := NewTransport(NewDefaultDialer())
	singleUse.DisableKeepAlives = true
	return &PlainClient{pooled: newClient(NewTransport(NewDefaultDialer())), singleUse: newClient(singleUse)}
}

// Reachable reports whether the address accepts connections.
func (p *PlainClient) Reachable(ctx context.Context, address string) bool {
	dialer := &net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// Close closes the idle connections.
func (p *PlainClient) Close() {
	p.pooled.CloseIdleConnections()
	p.singleUse.CloseIdleConnections()
}

func newClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Call sends the request once and returns the complete response. After
// ErrNotSent the upstream certainly didn't run it; after any other error it may
// have.
func (p *PlainClient) Call(ctx context.Context, q PlainRequest) (PlainResponse, error) {
	req, err := newPlainRequest(ctx, q)
	if err != nil {
		return PlainResponse{}, errors.WithType(err, ErrNotSent)
	}
	client := p.singleUse
	if q.Repeatable {
		client = p.pooled
	}
	resp, err := client.Do(req)
	if errors.Is(err, ErrNotSent) {
		return PlainResponse{}, errors.Trace(err)
	}
	if err != nil {
		return PlainResponse{}, errors.WithType(err, ErrBroken)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < http.StatusOK {
		return PlainResponse{}, errors.WithType(errors.Errorf("status %03d is none of an answer", resp.StatusCode), ErrBroken)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return PlainResponse{}, errors.WithType(err, ErrBroken)
	}
	if len(body) > maxResponseBytes {
		return PlainResponse{}, ErrTooLarge
	}
	return PlainResponse{
		Status: resp.StatusCode,
		Header: CleanHeader(resp.Header, ""),
		Body:   body,
	}, nil
}

// NewUnrewindableBody returns a request body that net/http can't rewind, so that it doesn't
// resend the request on another connection.
func NewUnrewindableBody(body []byte) io.ReadCloser {
	return io.NopCloser(readerOnly{bytes.NewReader(body)})
}

type readerOnly struct{ io.Reader }

func newPlainRequest(ctx context.Context, q PlainRequest) (*http.Request, error) {
	url := "http://" + q.Address + q.Path
	if q.Query != "" {
		url += "?" + q.Query
	}
	req, err := http.NewRequestWithContext(ctx, q.Method, url, bytes.NewReader(q.Body))
	if err != nil {
		return nil, err
	}
	if q.Header != nil {
		req.Header = q.Header.Clone()
	}
	req.Header.Set("X-Request-Id", q.CallID)
	if q.Credential != "" {
		req.Header.Set("Authorization", "Bearer "+q.Credential)
	}
	return req, nil
}
