package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/juju/errors"
)

const (
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes      = 64 << 10
	maxIdleConnsPerHost = 256
	idleConnTimeout     = 30 * time.Second
)

type (
	// Transport is an http.Transport that knows whether a failed request was sent.
	Transport struct {
		*http.Transport
		// DialContext opens the connections. It replaces the field of http.Transport.
		DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	}

	// sending is the way of one request through the transport.
	sending struct {
		// conn is the connection that the request was given last.
		conn *conn
		// sentBefore is set if anything was, or may have been, sent on an earlier one.
		sentBefore bool
	}
)

// NewTransport returns a transport for calls to upstreams.
func NewTransport(dialer *net.Dialer) *Transport {
	t := &Transport{DialContext: dialer.DialContext}
	t.Transport = &http.Transport{
		DialContext:         t.dial,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		// A faulty upstream may send a header without end.
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return t
}

func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	opened, err := t.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: opened}, nil
}

// RoundTrip sends the request and returns the response. After ErrNotSent no byte of the
// request was sent.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var s sending
	resp, err := t.Transport.RoundTrip(s.trace(req))
	if err != nil && !s.sent() {
		return nil, errors.WithType(err, ErrNotSent)
	}
	return resp, err
}

// trace returns the request with hooks that follow it.
func (s *sending) trace(req *http.Request) *http.Request {
	return req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: s.gotConn}))
}

func (s *sending) gotConn(info httptrace.GotConnInfo) {
	s.sentBefore = s.sent()
	c, ok := info.Conn.(*conn)
	if !ok {
		// The bytes sent on it aren't known.
		s.sentBefore = true
		return
	}
	c.begin()
	s.conn = c
}

func (s *sending) sent() bool { return s.sentBefore || (s.conn != nil && s.conn.sent.Load()) }
