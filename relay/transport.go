package relay

import (
	"cmp"
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
	// Transport is an http.Transport that sends a request once at most and knows whether a
	// failed one was sent.
	Transport struct {
		*http.Transport
		// DialContext opens the connections. It replaces the field of http.Transport.
		DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	}

	// sending is the way of one request through the transport.
	sending struct {
		// conn is the connection that the request was given last.
		conn *conn
		// uncounted is set if the request was given a connection whose bytes aren't counted.
		uncounted bool
		// failure is why a connection failed on which the request was sent, if net/http
		// then tried another one.
		failure error
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

// RoundTrip sends the request once at most and returns the response. After ErrNotSent no
// byte of the request was sent.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var s sending
	resp, err := t.Transport.RoundTrip(s.trace(req))
	if err == nil {
		return resp, nil
	}
	if !s.sent() {
		return nil, errors.WithType(err, ErrNotSent)
	}
	return nil, cmp.Or(s.failure, err)
}

// trace returns the request with hooks that follow it.
func (s *sending) trace(req *http.Request) *http.Request {
	return req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: s.gotConn}))
}

// gotConn is called with each connection that net/http takes for the request. It takes
// another one if nothing was sent on the one before, or if it regards the request as
// repeatable.
func (s *sending) gotConn(info httptrace.GotConnInfo) {
	if s.conn != nil {
		if sent, readErr := s.conn.state(); sent {
			s.failure = cmp.Or(s.failure, readErr, error(errResent))
		}
	}
	c, ok := info.Conn.(*conn)
	if !ok {
		s.uncounted = true
		return
	}
	c.begin(s.failure != nil)
	s.conn = c
}

// sent reports whether anything of the request was, or may have been, sent.
func (s *sending) sent() bool {
	if s.uncounted || s.failure != nil {
		return true
	}
	if s.conn == nil {
		return false
	}
	sent, _ := s.conn.state()
	return sent
}
