package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	host = "desk.example"
	key  = "k3fexd9dnn2ctnfzs989"

	// streamTime is how long a client waits for a stream.
	streamTime = 4 * time.Second
	// clientGap is eight times the route's longest pause; a client abandons a stream then.
	clientGap = 2400 * time.Millisecond
	// streamPeriod is the time between two new streams at a machine.
	streamPeriod = 120 * time.Millisecond
)

// attempt is one request of a client with its answer.
type attempt struct {
	id     string
	front  *front
	sent   time.Time
	status int
	seal   string
	retry  time.Duration
	// versions are the software versions of the events in order of their first coming;
	// last is the ID of the last event, events the number of events.
	versions []string
	last     int
	events   int
	err      error
	ended    time.Time
}

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// newClient returns a client that opens a new connection for each request.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// streamOnce sends one attempt of a stream and reads its events. A gap of maxGap ends it.
func (f *fleet) streamOnce(p *front, path string, deadline time.Time, header map[string]string, maxGap time.Duration) *attempt {
	a := &attempt{id: newID(), front: p, sent: time.Now()}
	a.last, _ = strconv.Atoi(header["Last-Event-Id"])
	left := time.Until(deadline)
	req, err := http.NewRequest(http.MethodPost, "http://"+p.address+path, strings.NewReader("prompt "+a.id))
	check(err)
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Token-Count", "100,780")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Model", "m")
	req.Header.Set("X-Prompt-Prefix", "5c1e07a2:80,"+a.id[:8]+":20")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	f.trace.note("sent", "id", a.id, "front", p.name, "path", path, "lastEvent", header["Last-Event-Id"], "resumes", header["Resumes"])
	defer func() {
		a.ended = time.Now()
		f.trace.note("answered", "id", a.id, "front", p.name, "status", a.status, "events", a.events, "last", a.last, "versions", strings.Join(a.versions, "+"), "error", a.err)
	}()
	client := newClient()
	defer client.CloseIdleConnections()
	// Client-side limits: the deadline, and the gap after which a client abandons a stream.
	cancel := make(chan struct{})
	var once sync.Once
	stop := func() { once.Do(func() { close(cancel) }) }
	req.Cancel = cancel
	timer := time.AfterFunc(left, stop)
	defer timer.Stop()
	gap := time.AfterFunc(maxGap, stop)
	defer gap.Stop()
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.seal = resp.StatusCode, resp.Header.Get("X-Server-Seal")
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retry = time.Duration(seconds * float64(time.Second))
	}
	if a.status != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1000))
		a.err = fmt.Errorf("%s", strings.TrimSpace(string(text)))
		return a
	}
	a.err = a.readEvents(resp.Body, func() { gap.Reset(maxGap) })
	return a
}

func (a *attempt) readEvents(body io.Reader, received func()) error {
	lines := bufio.NewReader(body)
	id := 0
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" {
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			id, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			version := strings.Fields(line[6:])[0]
			if len(a.versions) == 0 || a.versions[len(a.versions)-1] != version {
				a.versions = append(a.versions, version)
			}
		case line == "":
			a.events++
			a.last = id
			received()
		}
	}
}
