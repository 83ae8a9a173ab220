package trial

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/admapi"
	"github.com/buckthorntide/buckthorntide/caller"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/stand"
)

const (
	outDomain = "b"
	// outEngine and outService are the upstreams in outDomain.
	outEngine  = "engine-2"
	outService = "booking-2"

	phaseIn   = "in"
	phaseOut  = "out"
	phaseBack = "back"
	// phaseCalls is how many calls are made in a phase at least.
	phaseCalls = 60
	phaseUsers = 8
)

type (
	// traffic is callers whose every call says in which phase it began, and
	// what reached the upstreams of outDomain by phase.
	traffic struct {
		l     *load
		phase atomic.Pointer[string]
		done  atomic.Int64
		group *group.Group

		mu      sync.Mutex
		engine  map[string]int
		service map[string]int
	}
)

// TestDomainOut takes a failure domain out and brings it back under load.
func TestDomainOut(t *testing.T) {
	tests := []struct {
		name  string
		fault func(c *cluster)
	}{
		{"nothing fails", func(*cluster) {}},
		{"the home of the model service is killed", func(c *cluster) { c.homeOf("fitting").killAndWait() }},
		{"the home freezes and wakes while the platform is down", func(c *cluster) {
			home := c.homeOf("fitting")
			c.platformDown()
			c.freezeUntilLapsed(home)()
			c.platform.SetFaults(stand.PlatformFaults{})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newTraffic()
			c := newCluster(t, options{instances: 4, engines: 3, engine: stand.EngineConfig{Observe: tr.seeEngine}})
			tr.l = &load{c: c, key: c.issueKey("fes").Key}
			c.addService(tr)
			tr.start(t)
			tr.awaitWork("the domain gets work", phaseIn)

			c.setDomain(outDomain, true)
			tr.setPhase(phaseOut)
			tr.awaitCalls(phaseCalls)
			tt.fault(c)
			tr.awaitCalls(phaseCalls)
			engine, service := tr.seen(phaseOut)
			assert.Equal(t, engine+service, 0, "calls reached a domain that is out: %d and %d", engine, service)

			c.setDomain(outDomain, false)
			tr.setPhase(phaseBack)
			tr.awaitWork("the domain gets work again", phaseBack)
			tr.group.Close()
		})
	}
}

func newTraffic() *traffic {
	tr := &traffic{engine: make(map[string]int), service: make(map[string]int)}
	tr.setPhase(phaseIn)
	return tr
}

func (tr *traffic) setPhase(phase string) { tr.phase.Store(&phase) }

// seeEngine notes a call that an engine runs.
func (tr *traffic) seeEngine(r stand.EngineRunRecord) {
	if r.Engine == outEngine {
		phase, _, _ := strings.Cut(r.Messages[len(r.Messages)-1].Content, " ")
		tr.note(tr.engine, phase)
	}
}

// seeService notes a call that the plain service in outDomain runs.
func (tr *traffic) seeService(r stand.ServiceRunRecord) {
	phase, _, _ := strings.Cut(r.Body, " ")
	tr.note(tr.service, strings.Trim(phase, `"`))
}

func (tr *traffic) note(counts map[string]int, phase string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	counts[phase]++
}

// seen returns how many calls of the phase reached the upstreams in outDomain.
func (tr *traffic) seen(phase string) (engine, service int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.engine[phase], tr.service[phase]
}

func (tr *traffic) start(t *testing.T) {
	tr.group = group.NewGroup(t.Context())
	for n := range phaseUsers {
		tr.group.Go(func(ctx context.Context) { tr.talk(ctx, n) })
	}
}

// talk runs programs of a few turns each and a look at the plain service after
// every turn.
func (tr *traffic) talk(ctx context.Context, n int) {
	for k := n; ctx.Err() == nil; {
		talk := &conversation{}
		_ = tr.l.insist(ctx, k, func(ctx context.Context, client *caller.Client) error {
			program, err := client.OpenProgram(ctx, "")
			talk.program = program
			return err
		})
		for turn := 0; turn < 6 && ctx.Err() == nil; turn++ {
			k++
			tr.turn(ctx, k, talk)
		}
	}
}

func (tr *traffic) turn(ctx context.Context, k int, talk *conversation) {
	text := fmt.Sprintf("%s %d", *tr.phase.Load(), k)
	callID := uuid.NewString()
	err := tr.l.insist(ctx, k, func(ctx context.Context, client *caller.Client) error {
		_, err := talk.say(ctx, client, callID, text)
		return err
	})
	if err == nil {
		tr.done.Add(1)
	}
	q := caller.Request{Method: http.MethodPost, Path: "/v1/services/booking/look", Body: text}
	err = tr.l.insist(ctx, k, func(ctx context.Context, client *caller.Client) error {
		_, err := client.Do(ctx, q)
		return err
	})
	if err == nil {
		tr.done.Add(1)
	}
}

func (tr *traffic) awaitCalls(more int64) {
	tr.l.c.t.Helper()
	tr.l.c.awaitCount("calls go on", &tr.done, tr.done.Load()+more)
}

// awaitWork waits until both upstreams in outDomain have got calls of the
// phase.
func (tr *traffic) awaitWork(what, phase string) {
	tr.l.c.t.Helper()
	tr.l.c.eventually(what, func() error {
		engine, service := tr.seen(phase)
		if engine == 0 || service == 0 {
			return fmt.Errorf("the engine got %d, the service %d", engine, service)
		}
		return nil
	})
}

// addService adds a second upstream to the plain service, in outDomain.
func (c *cluster) addService(tr *traffic) {
	c.t.Helper()
	s := stand.NewService(stand.ServiceConfig{Name: outService, Observe: tr.seeService}, c.nextHost()+":7200")
	assert.NilError(c.t, s.Start())
	c.t.Cleanup(s.Close)
	text := c.firstText()
	text.Services[1].Upstreams = append(text.Services[1].Upstreams, conf.Upstream{
		Name: outService, Address: s.Address(), FailureDomain: outDomain, Slots: 32, ColdSlots: 8,
	})
	c.apply(text)
	c.awaitRevision(c.instances, c.revision)
}

// setDomain takes the failure domain out or brings it back, and waits until
// every instance shows it.
func (c *cluster) setDomain(name string, out bool) {
	c.t.Helper()
	var reply admapi.PutTextResponse
	c.eventually("the change of the domain is accepted", func() error {
		return c.operate(c.living()[0], http.MethodPost, admapi.DomainPath(name), admapi.DomainRequest{Out: out}, &reply)
	})
	c.awaitStatus("the domain's state is in force", c.living(), func(s admapi.StatusResponse) bool {
		ready := !out || s.FailureDomain != name
		return s.TextRevision >= reply.Revision && (len(s.DomainsOut) > 0) == out && s.Ready == ready
	})
}
