package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// connectTime is how long clients allow a new connection.
const connectTime = time.Second

type (
	// clientConn is one connection of a client.
	clientConn struct {
		net.Conn
		buffered *bufio.Reader
		// answered counts the requests that were answered whole on it.
		answered int
	}

	// call is one client attempt.
	call struct {
		ID, Method, Path, Host string
		Header                 map[string]string
		Body                   []byte
		// Deadline is sent as X-Deadline-Ms.
		Deadline time.Duration
	}

	// answer is what a client saw of it.
	answer struct {
		sentAt, endedAt time.Time
		status          int
		header          http.Header
		body            []byte
		// whole is set if the answer was complete; else failure says how it ended.
		whole   bool
		failure string
		// closed is set if the other side closed or reset the connection, firstBodyAt when
		// the first byte of the body came.
		closed bool
	}
)

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func dialClient(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, connectTime)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, buffered: bufio.NewReader(conn)}, nil
}

// do sends the attempt and reads its answer. The client waits a second longer than its
// deadline to see how the connection ends.
func (c *clientConn) do(q call) answer {
	a := answer{sentAt: time.Now()}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n", q.Method, q.Path, q.Host, q.ID)
	fmt.Fprintf(&head, "X-Deadline-Ms: %d\r\n", q.Deadline.Milliseconds())
	for name, value := range q.Header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if q.Body != nil {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.Body))
	}
	head.WriteString("\r\n")
	head.Write(q.Body)
	_ = c.SetDeadline(a.sentAt.Add(q.Deadline + time.Second))
	if _, err := c.Write(head.Bytes()); err != nil {
		return a.fail(err)
	}
	resp, err := http.ReadResponse(c.buffered, &http.Request{Method: q.Method})
	if err != nil {
		return a.fail(err)
	}
	a.status, a.header = resp.StatusCode, resp.Header
	a.body, err = io.ReadAll(resp.Body)
	if err != nil {
		return a.fail(err)
	}
	a.endedAt, a.whole = time.Now(), true
	c.answered++
	if resp.Close {
		_ = c.Close()
		c.answered = -1
	}
	return a
}

func (a answer) fail(err error) answer {
	a.endedAt, a.failure = time.Now(), err.Error()
	timeout, ok := err.(net.Error)
	a.closed = !ok || !timeout.Timeout()
	return a
}

// retryAfter returns what a refusal asks for.
func (a answer) retryAfter() time.Duration {
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

func (a answer) String() string {
	took := a.endedAt.Sub(a.sentAt).Milliseconds()
	if a.whole {
		return fmt.Sprintf("status %d, whole, %d bytes, %d ms", a.status, len(a.body), took)
	}
	if a.status != 0 {
		return fmt.Sprintf("status %d, not whole (%s), %d bytes, %d ms", a.status, a.failure, len(a.body), took)
	}
	return fmt.Sprintf("no answer (%s), %d ms", a.failure, took)
}
