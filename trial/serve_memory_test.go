package trial

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/caller"
	"github.com/buckthorntide/buckthorntide/group"
)

// TestEnginesForgetEndedPrograms ends programs in several ways; then the
// engines hold nothing but the cache of the one that goes on.
func TestEnginesForgetEndedPrograms(t *testing.T) {
	tests := []struct {
		name  string
		fault func(c *cluster)
	}{
		{"no fault", func(*cluster) {}},
		{"an instance is killed right after the ends", func(c *cluster) { c.instances[1].kill() }},
		{"the controller is killed right after the ends", func(c *cluster) { c.controller("fitting").kill() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, options{instances: 3, engines: 2})
			l := &load{c: c, key: c.issueKey("fes").Key}
			live := c.speakAll(l, 1)
			ended := c.speakAll(l, 12)
			l.singles(t.Context(), 6)
			c.endAll(l, ended)
			tt.fault(c)
			c.awaitCaches(live)
		})
	}
}

// TestEnginesForgetAfterTheRelayDies kills the instance that relays while its
// calls run, and ends the programs elsewhere.
func TestEnginesForgetAfterTheRelayDies(t *testing.T) {
	c := newCluster(t, options{instances: 3, engines: 2})
	l := &load{c: c, key: c.issueKey("fes").Key}
	programs := c.speakAll(l, 8)
	abandoned := group.NewGroup(t.Context())
	client := c.client(1, l.key)
	defer client.Close()
	requests := c.engineRequests()
	for _, p := range programs {
		abandoned.Go(func(ctx context.Context) {
			talk := &conversation{program: p}
			_, _ = talk.say(ctx, client, "", "Cut off")
		})
	}
	c.awaitRequest(requests)
	c.instances[1].kill()
	abandoned.Wait()
	abandoned.Close()
	c.endAll(l, programs)
	c.awaitCaches(nil)
}

// speakAll runs two turns in each of some new programs, at all instances.
func (c *cluster) speakAll(l *load, programs int) []string {
	c.t.Helper()
	out := make([]string, 0, programs)
	for n := range programs {
		client := c.client(n, l.key)
		talk := &conversation{program: c.openProgram(client, "")}
		for turn := range 2 {
			_, err := talk.say(c.t.Context(), client, "", fmt.Sprintf("turn %d", turn))
			assert.NilError(c.t, err)
		}
		client.Close()
		out = append(out, talk.program)
	}
	return out
}

func (c *cluster) endAll(l *load, programs []string) {
	c.t.Helper()
	for n, p := range programs {
		c.eventually("the program ends", func() error {
			client := c.client(n, l.key)
			defer client.Close()
			ctx, cancel := context.WithTimeout(c.t.Context(), tryTimeout)
			defer cancel()
			n++
			return client.CloseProgram(ctx, p)
		})
	}
}

func (c *cluster) awaitEmptyCaches() { c.awaitCaches(nil) }

// awaitCaches waits until the engines hold the live programs' caches only.
func (c *cluster) awaitCaches(live []string) {
	c.t.Helper()
	c.eventually("the engines hold live programs only", func() error {
		for n, e := range c.engines {
			for _, entry := range e.Cache() {
				if !slices.Contains(live, entry.Program) {
					return fmt.Errorf("engine %d holds %s", n+1, entry.Program)
				}
			}
		}
		return nil
	})
}

func (c *cluster) openProgram(client *caller.Client, parent string) string {
	c.t.Helper()
	program, err := client.OpenProgram(c.t.Context(), parent)
	assert.NilError(c.t, err)
	return program
}
