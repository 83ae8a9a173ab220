package boot

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"flag"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/admapi"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/demo"
	"github.com/buckthorntide/buckthorntide/keys"
	"github.com/buckthorntide/buckthorntide/stand"
)

const (
	demoInstances = 3
	demoEngines   = 2
	demoTimeout   = 60 * time.Second
	anyPort       = "127.0.0.1:0"
	demoTeam      = "fes"
)

// demoRun holds the simulated servers and the instances of one demo.
type demoRun struct {
	platform *stand.Platform
	engines  []*stand.Engine
	service  *stand.Service
	nodes    []*Node
	adminKey string
}

func (a *App) demo(args []string) int {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	flags.SetOutput(a.err)
	level := flags.String("log", "error", "log level")
	if err := flags.Parse(args); err != nil {
		return exitBadInput
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	log := hclog.New(&hclog.LoggerOptions{Name: "buckthorntide", Level: hclog.LevelFromString(*level), Output: a.err})
	r := &demoRun{}
	defer r.close()
	if err := r.start(log); err != nil {
		return a.fail(exitFailed, err)
	}
	d, err := r.prepare(ctx)
	if err != nil {
		return a.fail(exitFailed, err)
	}
	d.Out = a.out
	if err := d.Run(ctx); err != nil {
		return a.fail(exitFailed, err)
	}
	_, _ = fmt.Fprintln(a.out, "Done.")
	return exitOK
}

// start starts the simulated platform, engines and service, then the
// instances.
func (r *demoRun) start(log hclog.Logger) error {
	r.platform = stand.NewPlatform(stand.PlatformConfig{}, anyPort)
	if err := r.platform.Start(); err != nil {
		return err
	}
	prefixes := stand.NewHeldPrefixes()
	for i := range demoEngines {
		e := stand.NewEngine(stand.EngineConfig{Name: engineName(i), Held: prefixes}, anyPort)
		if err := e.Start(); err != nil {
			return err
		}
		r.engines = append(r.engines, e)
	}
	r.service = stand.NewService(stand.ServiceConfig{Name: "booking"}, anyPort)
	if err := r.service.Start(); err != nil {
		return err
	}
	key, err := keys.Generate(keys.AdminKind, rand.Reader)
	if err != nil {
		return err
	}
	r.adminKey = key
	for i := range demoInstances {
		if err := r.startNode(i, log); err != nil {
			return err
		}
	}
	return nil
}

func (r *demoRun) startNode(i int, log hclog.Logger) error {
	s := conf.DefaultSettings()
	s.Instance = fmt.Sprintf("i%d", i+1)
	s.FailureDomain = domainName(i)
	s.ListenAddress, s.AdminAddress, s.PeerAddress = anyPort, anyPort, anyPort
	s.PlatformAddress = r.platform.Address()
	s.DrainNotice = 0
	node, err := NewNode(Options{Settings: s, Log: log.Named(s.Instance), AdminKey: r.adminKey})
	if err != nil {
		return err
	}
	r.nodes = append(r.nodes, node)
	return node.Start()
}

// prepare applies the configuration text and issues a caller key.
func (r *demoRun) prepare(ctx context.Context) (*demo.Demo, error) {
	raw, err := json.Marshal(r.text())
	if err != nil {
		return nil, errors.Trace(err)
	}
	operator := r.nodes[0].operator
	if _, err := operator.PutText(ctx, admapi.PutTextRequest{Text: string(raw)}); err != nil {
		return nil, errors.Annotate(err, "apply the text")
	}
	issued, err := operator.IssueKey(ctx, admapi.IssueKeyRequest{Team: demoTeam})
	if err != nil {
		return nil, errors.Annotate(err, "issue a key")
	}
	d := &demo.Demo{Key: issued.Key, Service: r.service}
	for _, n := range r.nodes {
		d.Instances = append(d.Instances, demo.Instance{Name: n.self.Name, Address: n.Address()})
	}
	return d, nil
}

func (r *demoRun) text() conf.Text {
	fitting := conf.Service{
		Name:      "fitting",
		Kind:      conf.KindModel,
		Models:    []string{"demo-model"},
		DependsOn: []string{"booking"},
	}
	for i, e := range r.engines {
		fitting.Upstreams = append(fitting.Upstreams, conf.Upstream{
			Name: engineName(i), Address: e.Address(), FailureDomain: domainName(i), Slots: 8, ColdSlots: 2, CacheTokens: 200_000,
		})
	}
	booking := conf.Service{
		Name: "booking",
		Kind: conf.KindPlain,
		Upstreams: []conf.Upstream{
			{Name: "booking-1", Address: r.service.Address(), FailureDomain: domainName(0), Slots: 16, ColdSlots: 4},
		},
		Routes: []conf.Route{{Path: "/reserve"}, {Path: "/hours", Repeatable: true, OpenToAll: true}},
	}
	return conf.Text{
		Services:       []conf.Service{fitting, booking},
		Teams:          []conf.Team{{Name: demoTeam, RatePerSecond: 50, Burst: 100}},
		FailureDomains: []string{domainName(0), domainName(1), domainName(2)},
	}
}

func (r *demoRun) close() {
	for _, n := range r.nodes {
		n.Close()
	}
	for _, e := range r.engines {
		e.Close()
	}
	if r.service != nil {
		r.service.Close()
	}
	if r.platform != nil {
		r.platform.Close()
	}
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i+1) }

func domainName(i int) string { return string(rune('a' + i)) }
