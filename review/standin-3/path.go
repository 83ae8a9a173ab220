package main

import (
	"fmt"
	"time"
)

const (
	pathRequests = 20
	pathDeadline = 2 * time.Second
)

// slashes sends unsafe requests whose path begins with two slashes to a route for the whole
// host.
func slashes(w *world) (bool, error) {
	var engines []engineConfig
	for i := range 4 {
		engines = append(engines, engineConfig{
			ID: fmt.Sprintf("i-book%d", i), Service: "wuno96b", Zone: zoneOf(i), Version: "v1", Slots: 6, Work: 20 * time.Millisecond,
		})
	}
	err := w.setUp(
		[]map[string]any{{
			"name": "r-all", "host": routeHost, "prefix": "/", "route_kind": "unsafe", "timeout_ms": pathDeadline.Milliseconds(),
			"goal_ms": 200, "priority": 2, "service": "wuno96b", "max_attempts": 1, "keyless": false,
		}},
		[]map[string]any{{"name": "wuno96b", "health_path": "/health", "max_conns": 110, "cold_s": 0, "cold_per_s": 0}},
		engines, []string{"front-1", "front-2"},
	)
	if err != nil {
		return false, err
	}
	sent := make(map[string]string)
	for n := range pathRequests {
		path := fmt.Sprintf("/booking/%d", n)
		if w.trouble {
			path = "/" + path
		}
		conn, err := dialClient(w.fronts[n%len(w.fronts)].caller)
		if err != nil {
			return false, err
		}
		q := call{
			ID: newID(), Method: "POST", Path: path, Host: routeHost, Deadline: pathDeadline,
			Header: map[string]string{"Authorization": "Bearer " + apiKey}, Body: []byte("a booking\n"),
		}
		sent[q.ID] = path
		a := conn.do(q)
		_ = conn.Close()
		w.note("%s sent POST %s: %s", q.ID, path, a)
	}
	time.Sleep(100 * time.Millisecond)
	w.noteRuns()
	changed := 0
	for _, e := range w.engines {
		for _, r := range e.allRuns() {
			if r.path != sent[r.id] {
				changed++
			}
		}
	}
	w.note("%d of %d requests ran with another path than the client's", changed, pathRequests)
	return changed > 0, nil
}
