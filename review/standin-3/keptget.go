package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	getClients = 12
	getTimeout = 400 * time.Millisecond
	// getDeadline is how long the clients wait, far longer than the route's timeout.
	getDeadline = 3 * time.Second
	getWork     = 150 * time.Millisecond
	// slowShare of the engines (one of seven) work slowFactor times as long for slowTime.
	getEngines = 7
	slowFactor = 4
	slowTime   = 5 * time.Second
	getTime    = 9 * time.Second
	// crossZone is the one-way delay between zones.
	crossZone = 1400 * time.Microsecond
	// lostAllowed is how often the rule allows a kept connection to be closed.
	lostAllowed = 3
)

// keptGet sends safe requests without a body on kept connections, while one engine works
// longer than the route's timeout.
func keptGet(w *world) (bool, error) {
	var engines []engineConfig
	for i := range getEngines {
		engines = append(engines, engineConfig{
			ID: fmt.Sprintf("i-desk%d", i), Service: "wuno96b", Zone: zoneOf(i), Version: "v1", Slots: 6, Work: getWork, Way: crossZone,
		})
	}
	err := w.setUp(
		[]map[string]any{{
			"name": "r-pule", "host": routeHost, "prefix": "/pule252/", "route_kind": "safe", "timeout_ms": getTimeout.Milliseconds(), "goal_ms": 200,
			"priority": 2, "service": "wuno96b", "max_attempts": 1, "keyless": false,
		}},
		[]map[string]any{{"name": "wuno96b", "health_path": "/health", "max_conns": 110, "cold_s": 0, "cold_per_s": 0}},
		engines, []string{"front-1", "front-2"},
	)
	if err != nil {
		return false, err
	}
	begin := time.Now()
	var clients sync.WaitGroup
	var mu sync.Mutex
	lost, asked, timedOut := 0, 0, 0
	for i := range getClients {
		clients.Go(func() {
			var conn *clientConn
			for time.Since(begin) < getTime {
				if conn == nil {
					var err error
					if conn, err = dialClient(w.fronts[i%len(w.fronts)].caller); err != nil {
						w.note("client %d: %v", i, err)
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				kept := conn.answered > 0
				q := call{
					ID: newID(), Method: "GET", Path: "/pule252/2f", Host: routeHost, Deadline: getDeadline,
					Header: map[string]string{"Authorization": "Bearer " + apiKey},
				}
				a := conn.do(q)
				ran := w.ranAt(q.ID)
				w.note("client %d: %s, kept connection %v, reached %q: %s", i, q.ID, kept, ran, a)
				mu.Lock()
				asked++
				if kept && a.status == 0 && a.closed && ran != "" {
					lost++
				}
				if a.status == 504 {
					timedOut++
				}
				mu.Unlock()
				if !a.whole || conn.answered < 0 {
					_ = conn.Close()
					conn = nil
				}
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	if w.trouble {
		time.Sleep(2 * time.Second)
		w.engines[0].slowness.Store(slowFactor)
		w.note("engine %s works %d times as long", w.engines[0].config.ID, slowFactor)
		time.Sleep(slowTime)
		w.engines[0].slowness.Store(1)
		w.note("engine %s works as usual", w.engines[0].config.ID)
	}
	clients.Wait()
	w.noteRuns()
	w.note("%d requests; %d answered 504; %d on kept connections reached a sound engine and were closed without an answer (%d allowed)",
		asked, timedOut, lost, lostAllowed)
	return lost > lostAllowed, nil
}

// ranAt returns the engine that runs or ran the request.
func (w *world) ranAt(id string) string {
	// An engine notes a run when it has ended; a client may learn of the end first.
	for range 20 {
		for _, e := range w.engines {
			for _, r := range e.allRuns() {
				if r.id == id {
					return e.config.ID
				}
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return ""
}
