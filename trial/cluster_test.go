package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/admapi"
	"github.com/buckthorntide/buckthorntide/caller"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/stand"
)

const (
	adminKey = "bta_aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	model    = "obi-7b"
	// patience bounds every wait for something that must happen; it is far
	// above what is normal, so that a busy machine does not fail a test.
	patience  = 40 * time.Second
	pollPause = 20 * time.Millisecond
)

var clusters atomic.Int32

type (
	// cluster is a platform, upstreams and instances. The stand-ins run in the
	// test's process, every instance in one of its own.
	cluster struct {
		t        testing.TB
		net      string
		hosts    int
		platform *stand.Platform
		engines  []*stand.Engine
		booking  *stand.Service
		// mu guards instances, which grow while callers talk.
		mu        sync.RWMutex
		instances []*instance
		text      conf.Text
		revision  int64
		group     *group.Group
	}

	// instance is one process of the product.
	instance struct {
		*process
		name    string
		domain  string
		address string
		admin   string
	}

	// options say what a cluster is made of.
	options struct {
		instances int
		engines   int
		engine    stand.EngineConfig
	}
)

// newCluster starts a cluster and applies a text with two teams.
func newCluster(t testing.TB, o options) *cluster {
	t.Helper()
	number := int(clusters.Add(1))
	c := &cluster{
		t:     t,
		net:   fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, number),
		group: group.NewGroup(context.Background()),
	}
	t.Cleanup(c.group.Close)
	c.platform = stand.NewPlatform(stand.PlatformConfig{}, c.nextHost()+":7000")
	assert.NilError(t, c.platform.Start())
	t.Cleanup(c.platform.Close)
	held := stand.NewHeldPrefixes()
	for i := range o.engines {
		config := o.engine
		config.Name = fmt.Sprintf("engine-%d", i+1)
		config.Held = held
		e := stand.NewEngine(config, c.nextHost()+":7100")
		assert.NilError(t, e.Start())
		t.Cleanup(e.Close)
		c.engines = append(c.engines, e)
	}
	c.booking = stand.NewService(stand.ServiceConfig{Name: "booking"}, c.nextHost()+":7200")
	assert.NilError(t, c.booking.Start())
	t.Cleanup(c.booking.Close)
	for i := range o.instances {
		c.addInstance(domain(i))
	}
	c.apply(c.firstText())
	for _, i := range c.instances {
		c.awaitReady(i)
	}
	return c
}

func (c *cluster) nextHost() string {
	c.hosts++
	return fmt.Sprintf("%s.%d", c.net, c.hosts)
}

func domain(i int) string { return string(rune('a' + i%3)) }

// addInstance starts one more instance, with further arguments.
func (c *cluster) addInstance(domain string, more ...string) *instance {
	host := c.nextHost()
	i := &instance{
		name:    fmt.Sprintf("i%d", len(c.instances)+1),
		domain:  domain,
		address: host + ":8080",
		admin:   host + ":8081",
	}
	args := append([]string{
		"serve",
		"-name", i.name, "-domain", domain, "-platform", c.platform.Address(),
		"-listen", i.address, "-admin", i.admin, "-peer", host + ":8082", "-log", "debug",
	}, more...)
	i.process = startProcess(c.t, []string{"BUCKTHORNTIDE_ADMIN_KEY=" + adminKey}, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances = append(c.instances, i)
	return i
}

func (c *cluster) firstText() conf.Text {
	fitting := conf.Service{Name: "fitting", Kind: conf.KindModel, Models: []string{model}}
	for i, e := range c.engines {
		fitting.Upstreams = append(fitting.Upstreams, conf.Upstream{
			Name: fmt.Sprintf("engine-%d", i+1), Address: e.Address(), FailureDomain: domain(i),
			Slots: 8, ColdSlots: 2, CacheTokens: 200_000,
		})
	}
	booking := conf.Service{
		Name:      "booking",
		Kind:      conf.KindPlain,
		Upstreams: []conf.Upstream{{Name: "booking-1", Address: c.booking.Address(), FailureDomain: "a", Slots: 32, ColdSlots: 8}},
		Routes: []conf.Route{
			{Path: "/reserve"},
			{Path: "/look", Repeatable: true},
			{Path: "/hours", Repeatable: true, OpenToAll: true},
		},
	}
	return conf.Text{
		Services: []conf.Service{fitting, booking},
		Teams: []conf.Team{
			{Name: "fes", RatePerSecond: 1000, Burst: 1000},
			{Name: "zug", RatePerSecond: 1000, Burst: 1000},
		},
		FailureDomains: []string{"a", "b", "c"},
	}
}

// apply makes the text the next revision, by the first instance that runs.
func (c *cluster) apply(text conf.Text) {
	c.t.Helper()
	raw, err := json.Marshal(text)
	assert.NilError(c.t, err)
	c.text = text
	var reply admapi.PutTextResponse
	c.eventually("the text is accepted", func() error {
		return c.operate(c.instances[0], http.MethodPut, admapi.PathText,
			admapi.PutTextRequest{Base: c.revision, Text: string(raw)}, &reply)
	})
	c.revision = reply.Revision
}

// issueKey returns a new key of the team that works at every instance.
func (c *cluster) issueKey(team string) admapi.IssueKeyResponse {
	c.t.Helper()
	var reply admapi.IssueKeyResponse
	c.eventually("a key is issued", func() error {
		return c.operate(c.instances[0], http.MethodPost, admapi.PathKeys, admapi.IssueKeyRequest{Team: team}, &reply)
	})
	for n := range c.instances {
		c.eventually("the key works", func() error {
			client := c.client(n, reply.Key)
			defer client.Close()
			program, err := client.OpenProgram(c.t.Context(), "")
			if err != nil {
				return err
			}
			return client.CloseProgram(c.t.Context(), program)
		})
	}
	return reply
}

// operate sends one request of an operator and reads the answer into out.
func (c *cluster) operate(i *instance, method, path string, body, out any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	q, err := http.NewRequestWithContext(c.t.Context(), method, "http://"+i.admin+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	q.Header.Set("Authorization", "Bearer "+adminKey)
	ctx, cancel := context.WithTimeout(q.Context(), tryTimeout)
	defer cancel()
	resp, err := http.DefaultClient.Do(q.WithContext(ctx))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, answer)
	}
	return json.Unmarshal(answer, out)
}

// logDumps logs the state of every instance that answers.
func (c *cluster) logDumps() {
	for _, i := range c.instances {
		var dump json.RawMessage
		if err := c.operate(i, http.MethodGet, admapi.PathDump, nil, &dump); err == nil {
			c.t.Logf("dump of %s: %s", i.name, dump)
		}
	}
}

func (c *cluster) awaitReady(i *instance) {
	c.t.Helper()
	client := caller.NewClient(i.address, "")
	defer client.Close()
	c.eventually(i.name+" is ready", func() error {
		answer, err := client.Do(c.t.Context(), caller.Request{Method: http.MethodGet, Path: "/healthz"})
		if err != nil {
			return err
		}
		if answer.Status != http.StatusOK {
			return fmt.Errorf("health: %s", answer.Body)
		}
		return nil
	})
}

// client returns a client of one instance.
func (c *cluster) client(n int, key string) *caller.Client {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return caller.NewClient(c.instances[n%len(c.instances)].address, key)
}

// eventually repeats f until it returns nil.
func (c *cluster) eventually(what string, f func() error) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), patience)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			c.t.Fatalf("%s: not in time: %v", what, err)
		case <-time.After(pollPause):
		}
	}
}
