package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

type (
	// call is one client attempt.
	call struct {
		method string
		path   string
		body   string
		header map[string]string
		// deadline is how long the client waits.
		deadline time.Duration
	}

	// outcome is how the attempt ended.
	outcome struct {
		id     string
		status int
		seal   string
		// events are the complete events of a stream that were received.
		events int
		body   string
		// whole is set if the answer ended as complete.
		whole      bool
		retryAfter time.Duration
		err        error
	}
)

const (
	clientHost = "fitting.example"
	clientKey  = "3fexd9dnn2ctnfzs989a"
)

// send makes one attempt at the instance, on a new connection.
func (c call) send(in *instance) outcome {
	o := outcome{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	var body io.Reader
	if c.body != "" {
		body = strings.NewReader(c.body)
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+in.front+c.path, body)
	if err != nil {
		cannotRun(err)
	}
	req.Host = clientHost
	req.Header.Set("X-Request-Id", o.id)
	req.Header.Set("Authorization", "Bearer "+clientKey)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	resp, err := client.Do(req)
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	o.status, o.seal = resp.StatusCode, resp.Header.Get("X-Server-Seal")
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		o.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		text, err := io.ReadAll(resp.Body)
		o.body, o.err, o.whole = string(text), err, err == nil
		return o
	}
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			o.whole = err == io.EOF
			if !o.whole {
				o.err = err
			}
			return o
		}
		if line == "\n" {
			o.events++
		}
	}
}

func newID() string {
	id := make([]byte, 8)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}
