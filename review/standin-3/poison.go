package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	poisonEngines = 12
	// A poisonous request crashes its engine crashAfter it began to run; the engine is back
	// after downTime.
	crashAfter     = 300 * time.Millisecond
	downTime       = 2 * time.Second
	poisonDeadline = 2 * time.Second
	// poisonLeave is when its client leaves, long before its deadline.
	poisonLeave = 120 * time.Millisecond
	poisonPause = 270 * time.Millisecond
	// poisonTime is how long clients leave early, and how long the request comes again.
	poisonTime = 5500 * time.Millisecond
	// calmClients stay; so one client in ten leaves early.
	calmClients = 9
	calmPause   = 150 * time.Millisecond
	// crashesAllowed and retriesAllowed are the rule's.
	crashesAllowed = 3
	retriesAllowed = 3
)

// poisonLeft sends an unsafe request that crashes the engines that run it, again and again,
// from a client that leaves before the crash.
func poisonLeft(w *world) (bool, error) {
	var engines []engineConfig
	for i := range poisonEngines {
		engines = append(engines, engineConfig{
			ID: fmt.Sprintf("i-book%d", i), Service: "wuno96b", Zone: zoneOf(i), Version: "v1", Slots: 6, Work: 20 * time.Millisecond,
			Crashes: "/puxa403/poison", CrashAfter: crashAfter, Down: downTime,
		})
	}
	err := w.setUp(
		[]map[string]any{{
			"name": "r-puxa", "host": routeHost, "prefix": "/puxa403/", "route_kind": "unsafe", "timeout_ms": poisonDeadline.Milliseconds(),
			"goal_ms": 200, "priority": 2, "service": "wuno96b", "max_attempts": 1, "keyless": false,
		}},
		[]map[string]any{{"name": "wuno96b", "health_path": "/health", "max_conns": 110, "cold_s": 0, "cold_per_s": 0}},
		engines, []string{"front-1", "front-2", "front-3"},
	)
	if err != nil {
		return false, err
	}
	begin := time.Now()
	var mu sync.Mutex
	sent := make(map[string]time.Time)
	var attempts sync.WaitGroup
	broken := 0
	for i := range calmClients {
		attempts.Go(func() {
			for time.Since(begin) < poisonTime {
				if a := order(w, i); a.status != 200 && a.status != 503 {
					mu.Lock()
					broken++
					mu.Unlock()
				}
				time.Sleep(calmPause)
			}
		})
	}
	for n := 0; time.Since(begin) < poisonTime; n++ {
		f := w.fronts[n%len(w.fronts)]
		attempts.Go(func() {
			q := call{
				ID: newID(), Method: "POST", Path: "/puxa403/poison", Host: routeHost, Deadline: poisonDeadline,
				Header: map[string]string{"Authorization": "Bearer " + apiKey}, Body: []byte("the same body each time\n"),
			}
			conn, err := dialClient(f.caller)
			if err != nil {
				w.note("poison %s: %v", q.ID, err)
				return
			}
			mu.Lock()
			sent[q.ID] = time.Now()
			mu.Unlock()
			if w.trouble {
				time.AfterFunc(poisonLeave, func() { _ = conn.Close() })
			}
			a := conn.do(q)
			_ = conn.Close()
			w.note("poison %s by way of %s: %s", q.ID, f.name, a)
		})
		time.Sleep(poisonPause)
	}
	attempts.Wait()
	time.Sleep(crashAfter)
	w.noteRuns()
	third := thirdCrash(w)
	late := 0
	for _, e := range w.engines {
		for _, r := range e.allRuns() {
			if at, ok := sent[r.id]; ok && !third.IsZero() && at.After(third.Add(contact)) {
				late++
			}
		}
	}
	if !third.IsZero() {
		w.note("the third crash was at %.3f", third.Sub(w.started).Seconds())
	}
	w.note("%d attempts, %d crashes; %d attempts sent later than %s after the third crash reached an engine (%d allowed)",
		len(sent), len(crashTimes(w)), late, contact, retriesAllowed)
	w.note("%d unsafe requests of the clients that stay had no answer of an engine", broken)
	return late > retriesAllowed, nil
}

// order sends an unsafe request of a client that stays.
func order(w *world, client int) answer {
	q := call{
		ID: newID(), Method: "POST", Path: "/puxa403/order", Host: routeHost, Deadline: poisonDeadline,
		Header: map[string]string{"Authorization": "Bearer " + apiKey}, Body: []byte("order of " + newID() + "\n"),
	}
	conn, err := dialClient(w.fronts[client%len(w.fronts)].caller)
	if err != nil {
		return answer{sentAt: time.Now()}.fail(err)
	}
	defer conn.Close()
	a := conn.do(q)
	w.note("client %d: %s: %s", client, q.ID, a)
	return a
}

// crashTimes returns when engines crashed, in order.
func crashTimes(w *world) []time.Time {
	var all []time.Time
	for _, e := range w.engines {
		e.mu.Lock()
		all = append(all, e.crashed...)
		e.mu.Unlock()
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

func thirdCrash(w *world) time.Time {
	if all := crashTimes(w); len(all) >= crashesAllowed {
		return all[crashesAllowed-1]
	}
	return time.Time{}
}
