package main

import (
	"context"
	"fmt"
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/stand"
)

const (
	loopback      = "127.0.0.1:0"
	loadLag       = 200 * time.Millisecond
	eventLag      = 100 * time.Millisecond
	eventGap      = 0.05
	listLag       = 500 * time.Millisecond
	serviceCount  = 2
	budgetCalls   = 1000
	budgetTokens  = 10000000
	budgetSeconds = 600
	freeInterval  = 100 * time.Millisecond
)

// domains are the failure domains that upstreams and instances stand in.
var domains = []string{"a", "b", "c"}

// world is everything around the instances under test: stand-ins and the text.
type world struct {
	load     load
	platform *stand.Platform
	engines  []*stand.Engine
	services []*stand.Service
	text     conf.Text
	closers  []func()

	outAt time.Time
	inAt  time.Time
}

func newWorld(seed uint64, load load, ledger *ledger) (*world, error) {
	w := &world{load: load}
	w.platform = stand.NewPlatform(stand.PlatformConfig{ListLag: listLag, Seed: seed}, loopback)
	if err := w.start(w.platform.Start, w.platform.Close); err != nil {
		return nil, err
	}
	held := stand.NewHeldPrefixes()
	for i := range engineCount {
		e := stand.NewEngine(engineConfig(i, seed, ledger, held), loopback)
		if err := w.start(e.Start, e.Close); err != nil {
			return nil, err
		}
		w.engines = append(w.engines, e)
	}
	for i := range serviceCount {
		config := stand.ServiceConfig{Name: fmt.Sprint(plainService, i), Seed: seed, Observe: ledger.observeService}
		s := stand.NewService(config, loopback)
		if err := w.start(s.Start, s.Close); err != nil {
			return nil, err
		}
		w.services = append(w.services, s)
	}
	w.text = w.newText()
	return w, nil
}

func engineConfig(i int, seed uint64, ledger *ledger, held *stand.HeldPrefixes) stand.EngineConfig {
	return stand.EngineConfig{
		Name:                   engineName(i),
		Slots:                  engineSlots,
		PrefillTokensPerSecond: prefillPerSecond,
		DecodeTokensPerSecond:  decodePerSecond,
		CacheTokens:            engineCache,
		ColdSlots:              1,
		LoadLag:                loadLag,
		EventLag:               eventLag,
		EventGap:               eventGap,
		Poison:                 poisonMark,
		Seed:                   seed + uint64(i),
		Observe:                ledger.observeEngine,
		Held:                   held,
	}
}

func engineName(i int) string { return fmt.Sprint("engine", i) }

func domainOf(i int) string { return domains[i%len(domains)] }

func (w *world) start(start func() error, closer func()) error {
	if err := start(); err != nil {
		w.close()
		return err
	}
	w.closers = append(w.closers, closer)
	return nil
}

func (w *world) close() {
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}

// newText returns the operators' text that describes the world.
func (w *world) newText() conf.Text {
	model := conf.Service{Name: "agents", Kind: conf.KindModel, Models: []string{modelName}, Credential: "model-credential"}
	for i, e := range w.engines {
		model.Upstreams = append(model.Upstreams, conf.Upstream{
			Name: engineName(i), Address: e.Address(), FailureDomain: domainOf(i),
			Slots: engineSlots, ColdSlots: 1, CacheTokens: engineCache,
		})
	}
	plain := conf.Service{
		Name: plainService, Kind: conf.KindPlain, Credential: "plain-credential",
		Routes: []conf.Route{{Path: "/reserve"}},
	}
	for i, s := range w.services {
		plain.Upstreams = append(plain.Upstreams, conf.Upstream{
			Name: fmt.Sprint(plainService, i), Address: s.Address(), FailureDomain: domainOf(i),
			Slots: 32, ColdSlots: 8,
		})
	}
	text := conf.Text{Services: []conf.Service{model, plain}}
	for _, team := range w.load.teams {
		text.Teams = append(text.Teams, conf.Team{
			Name: team.name, RatePerSecond: team.ratePerSecond, Burst: team.burst,
			Budget: conf.Budget{Calls: budgetCalls, Tokens: budgetTokens, Seconds: budgetSeconds},
		})
	}
	return text
}

// count adds what the stand-ins counted.
func (w *world) count(into *result) {
	var prompt, recomputed int64
	for _, e := range w.engines {
		stats := e.Stats()
		prompt += stats.PromptTokens
		recomputed += stats.RecomputedTokens
		into.KeysLeaked += stats.LeakedKeys
		into.ColdOverloads += stats.ColdOverloads
		into.EngineCrashes += stats.Crashes
	}
	for _, s := range w.services {
		into.KeysLeaked += s.Stats().LeakedKeys
	}
	if prompt > 0 {
		into.WastedCacheRatio = float64(recomputed) / float64(prompt)
	}
	if into.Calls > 0 {
		stats := w.platform.Stats()
		into.WritesPerCall = float64(stats.Commits+stats.Conflicts) / float64(into.Calls)
		into.ReadsPerCall = float64(stats.Reads) / float64(into.Calls)
	}
}

// countHeld waits a bounded time until the engines have freed the caches of
// the ended programs and counts those that are left.
func (w *world) countHeld(ctx context.Context, programs map[string]bool, timeout time.Duration) int {
	deadline := time.Now().Add(timeout)
	for {
		held := w.held(programs)
		if held == 0 || time.Now().After(deadline) || !group.Sleep(ctx, freeInterval) {
			return held
		}
	}
}

func (w *world) held(programs map[string]bool) int {
	held := 0
	for _, e := range w.engines {
		for _, entry := range e.Cache() {
			if programs[entry.Program] {
				held++
			}
		}
	}
	return held
}

// lastWork returns when the failure domain that was taken out last got new
// work, counted from the accepted change; -1 if none was taken out.
func (w *world) lastWork(ledger *ledger, domain string) float64 {
	if w.outAt.IsZero() {
		return -1
	}
	inDomain := make(map[string]bool)
	for i := range w.engines {
		inDomain[engineName(i)] = domainOf(i) == domain
	}
	last := time.Duration(0)
	for _, runs := range ledger.runs {
		for _, r := range runs {
			if inDomain[r.upstream] && r.at.After(w.outAt) && (w.inAt.IsZero() || r.at.Before(w.inAt)) {
				last = max(last, r.at.Sub(w.outAt))
			}
		}
	}
	return float64(last.Microseconds()) / microsPerMilli
}
