// Command standin-3 plays the cases of the third review: each starts the project's own
// program as separate processes, with stand-ins for the platform's store, the engines and
// the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldNot   = 2
)

const (
	// playTime bounds a whole case.
	playTime = 110 * time.Second

	routeHost = "ficu95.example"
	apiKey    = "3fexd9dnn2ctnfzs989a"
	// otherKey is that of another tenant.
	otherKey = "nu6wsjnbanfqasnmgkcu"
)

// world is a running case.
type world struct {
	trouble bool
	dir     string
	started time.Time
	store   *tableStore
	fronts  []*front
	engines []*engine
	taken   places

	mu     sync.Mutex
	record *os.File
}

func main() {
	if len(os.Args) != 4 || os.Args[3] != "0" && os.Args[3] != "1" {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER TROUBLE, which is 1 or, without the disruption, 0")
		os.Exit(couldNot)
	}
	cases := map[string]func(*world) (bool, error){
		"poison-left": poisonLeft,
		"upgrade":     upgrade,
		"dead-home":   deadHome,
		"mem-turn":    memTurn,
		"kept-get":    keptGet,
		"bad-release": badRelease,
		"big-turn":    bigTurn,
		"slashes":     slashes,
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(couldNot)
	}
	os.Exit(runCase(play, os.Args[2], os.Args[3] == "1"))
}

func runCase(play func(*world) (bool, error), folder string, trouble bool) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "standin-3")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer os.RemoveAll(dir)
	w := &world{trouble: trouble, dir: dir, started: time.Now(), record: record}
	defer w.end()
	w.note("with the disruption: %v", trouble)
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(w)
		done <- outcome{broken, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-time.After(playTime):
		o.err = fmt.Errorf("not over after %s", playTime)
	}
	switch {
	case o.err != nil:
		w.note("could not run: %v", o.err)
		fmt.Println("could not run:", o.err)
		return couldNot
	case o.broken:
		w.note("rule broken")
		fmt.Println("rule broken")
		return ruleBroken
	default:
		w.note("rule held")
		fmt.Println("rule held")
		return ruleHeld
	}
}

// end stops all that the case started.
func (w *world) end() {
	for _, f := range w.fronts {
		f.kill()
	}
	for _, e := range w.engines {
		e.close()
	}
	if w.store != nil {
		_ = w.store.server.Close()
	}
}

// note writes a line with the time since the start.
func (w *world) note(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.4f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, values...))
}

// noteRuns writes what the engines ran.
func (w *world) noteRuns() {
	for _, e := range w.engines {
		for _, r := range e.allRuns() {
			w.mu.Lock()
			fmt.Fprintf(w.record, "%9.4f  run %s at %s: %s, tenant %s, body of %d bytes, ended with %d\n", r.at.Sub(w.started).Seconds(),
				r.id, r.engine, r.path, r.tenant, r.bodyBytes, r.status)
			w.mu.Unlock()
		}
	}
}

// setUp starts the store with the configuration, the engines and the fronts, and waits
// until all are ready.
func (w *world) setUp(routes, services []map[string]any, engines []engineConfig, fronts []string) error {
	var err error
	if w.store, err = startStore(); err != nil {
		return err
	}
	w.store.put("op", "config", map[string]any{
		"version": 7, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{
			{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1, "rate_per_s": 289, "burst": 289},
			{"name": "xaka200", "api_keys": []string{otherKey}, "priority": 1, "rate_per_s": 289, "burst": 289},
		},
	})
	for _, config := range engines {
		e, err := startEngine(w.store, &w.taken, config)
		if err != nil {
			return err
		}
		w.engines = append(w.engines, e)
	}
	for i, name := range fronts {
		if err := w.addFront(name, zoneOf(i), true); err != nil {
			return err
		}
	}
	if err := awaitReady(w.fronts...); err != nil {
		return err
	}
	// The machines run for a while before the clients come.
	time.Sleep(2 * time.Second)
	return nil
}

func (w *world) addFront(name, zone string, firstStart bool) error {
	var seeds []string
	for _, f := range w.fronts {
		if f.alive() && len(seeds) < 3 {
			seeds = append(seeds, f.peer)
		}
	}
	f, err := startFront(w.dir, name, zone, w.store.address, seeds, firstStart)
	if err != nil {
		return err
	}
	w.fronts = append(w.fronts, f)
	return nil
}

func zoneOf(i int) string {
	return []string{"zone-bern", "zone-zuerich", "zone-basel", "zone-luzern"}[i%4]
}
