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

// errStale means that a connection was of no use for the request any more, and that no
// byte of it was sent.
const errStale = errors.ConstError("connection is stale")

type (
	// Transport is an http.Transport that sends a request once at most, knows whether a
	// failed one was sent, and doesn't use idle connections that upstreams are about to
	// close.
	Transport struct {
		*http.Transport
		// DialContext opens the connections. It replaces the field of http.Transport.
		DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	}

	// Check relates answers to a request.
	Check struct {
		// ID is the request's. It isn't sent on a connection on which a request with the
		// same ID was refused.
		ID string
		// Accepts reports whether the answer belongs to the request. The connection of
		// another answer is closed, and no other request is sent on it.
		Accepts func(*http.Response) bool
		// Refused reports whether an accepted answer says that the request was not run.
		Refused func(*http.Response) bool
	}

	// checkKey is the context key of a Check.
	checkKey struct{}

	// sending is the way of one request through the transport.
	sending struct {
		// check is nil if answers aren't checked.
		check *Check
		// conn is the connection that the request has now.
		conn *conn
		// reused is set if that connection was idle before.
		reused bool
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
	return newConn(opened), nil
}

// WithCheck returns a context for a request whose answer is checked.
func WithCheck(ctx context.Context, check Check) context.Context {
	return context.WithValue(ctx, checkKey{}, &check)
}

// RoundTrip sends the request once at most and returns the response. After ErrNotSent no
// byte of the request was sent.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	for {
		resp, err := t.roundTrip(req)
		if !errors.Is(err, errStale) {
			return resp, err
		}
		again, ok := rewind(req)
		if !ok || req.Context().Err() != nil {
			return nil, errors.WithType(err, ErrNotSent)
		}
		req = again
	}
}

// roundTrip tries once. After errStale nothing of the request was sent, since the upstream
// had closed its connection or sent something on it before.
func (t *Transport) roundTrip(req *http.Request) (*http.Response, error) {
	check, _ := req.Context().Value(checkKey{}).(*Check)
	s := sending{check: check}
	defer s.leaveConn()
	resp, err := t.Transport.RoundTrip(s.trace(req))
	if err == nil && s.withdraw() {
		_ = resp.Body.Close()
		err = errUnexpected
	}
	switch {
	case err == nil:
		s.checkAnswer(resp)
		return resp, nil
	case s.sent():
		return nil, cmp.Or(s.failure, err)
	case s.reused:
		return nil, errors.WithType(err, errStale)
	default:
		return nil, errors.WithType(err, ErrNotSent)
	}
}

// rewind returns the request with its body from the start, if it can.
func rewind(req *http.Request) (again *http.Request, ok bool) {
	if req.Body == nil || req.Body == http.NoBody {
		return req, true
	}
	if req.GetBody == nil {
		return nil, false
	}
	body, err := req.GetBody()
	if err != nil {
		return nil, false
	}
	again = req.WithContext(req.Context())
	again.Body = body
	return again, true
}

// trace returns the request with hooks that follow it.
func (s *sending) trace(req *http.Request) *http.Request {
	return req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GetConn: func(string) { s.leaveConn() },
		GotConn: s.gotConn,
	}))
}

// gotConn is called with each connection that net/http takes for the request. It takes
// another one if nothing was sent on the one before, or if it regards the request as
// repeatable.
func (s *sending) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		s.uncounted = true
		return
	}
	id := ""
	if s.check != nil {
		id = s.check.ID
	}
	c.begin(id, s.failure != nil)
	s.conn, s.reused = c, info.Reused
}

// leaveConn lets other requests use the connection.
func (s *sending) leaveConn() {
	if s.conn == nil {
		return
	}
	if sent, broken := s.conn.state(); sent {
		s.failure = cmp.Or(s.failure, broken, error(errResent))
	}
	s.conn.end()
	s.conn, s.reused = nil, false
}

// withdraw keeps the request from being sent, and returns false if it may have been.
func (s *sending) withdraw() bool { return s.conn != nil && s.conn.withdraw() }

func (s *sending) checkAnswer(resp *http.Response) {
	if s.conn == nil {
		return
	}
	if s.check != nil && !s.check.Accepts(resp) {
		s.conn.reject()
		return
	}
	s.conn.noteAnswer(resp.Header)
	if s.check != nil && s.check.Refused(resp) {
		s.conn.noteRefusal()
	}
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
