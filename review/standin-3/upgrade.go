package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	upgradeEngines = 12
	upgradeFronts  = 8
	oldVersion     = "v1"
	newVersion     = "v2"
	streamGap      = 60 * time.Millisecond
	streamDeadline = 4 * time.Second
	// streamPause is the time between the starts of two streams.
	streamPause = 14 * time.Millisecond
	upgradeAt   = 2 * time.Second
	// upgrades engines start again with other software, one after the other, each after
	// restartPause; crashAgain later they crash and come back after againPause.
	upgrades     = 6
	upgradeGap   = time.Second
	restartPause = 20 * time.Millisecond
	crashAgain   = 450 * time.Millisecond
	againPause   = 2 * time.Second
	upgradeTime  = 11 * time.Second
	mixedAllowed = 2
)

// upgrade replaces the software of engines under their IDs, of which the new one crashes
// once, while clients take up the streams that break.
func upgrade(w *world) (bool, error) {
	var engines []engineConfig
	for i := range upgradeEngines {
		engines = append(engines, engineConfig{
			ID: fmt.Sprintf("i-model%d", i), Service: "huvo11a", Zone: zoneOf(i), Version: oldVersion, Slots: homeSlots,
			Gap: streamGap, Events: turnEvents, Streams: []string{"/pufi791/"},
		})
	}
	var names []string
	for i := range upgradeFronts {
		names = append(names, fmt.Sprintf("front-%d", i+1))
	}
	err := w.setUp(
		[]map[string]any{{
			"name": "r-pufi", "host": routeHost, "prefix": "/pufi791/", "route_kind": "streaming", "timeout_ms": streamDeadline.Milliseconds(),
			"goal_ms": 250, "priority": 0, "service": "huvo11a", "max_attempts": 1, "retain": false, "keyless": false,
			"sticky": true, "can_resume": true, "gap_target_ms": 300,
		}},
		[]map[string]any{{
			"name": "huvo11a", "health_path": "/health", "max_conns": 240, "cold_s": 0, "cold_per_s": 0,
			"engine": map[string]any{"slots": homeSlots, "kv_capacity": 983462, "stride": turnStride, "models": []map[string]any{{"name": "m"}}},
		}},
		engines, names,
	)
	if err != nil {
		return false, err
	}
	begin := time.Now()
	var all sync.WaitGroup
	if w.trouble {
		all.Go(func() {
			time.Sleep(upgradeAt)
			for _, e := range w.engines[:upgrades] {
				w.note("%s starts again as %s under its ID", e.config.ID, newVersion)
				e.restart(newVersion, restartPause)
				time.Sleep(crashAgain)
				w.note("%s crashes", e.config.ID)
				e.restart(newVersion, againPause)
				time.Sleep(upgradeGap - crashAgain)
			}
		})
	}
	var mu sync.Mutex
	streams, mixed, takenUp := 0, 0, 0
	for n := 0; time.Since(begin) < upgradeTime; n++ {
		all.Go(func() {
			versions, attempts := streamOf(w, n)
			mu.Lock()
			defer mu.Unlock()
			streams++
			if attempts > 1 {
				takenUp++
			}
			if len(versions) > 1 {
				mixed++
			}
		})
		time.Sleep(streamPause)
	}
	all.Wait()
	w.noteRuns()
	w.note("%d streams, %d taken up; %d hold events of two versions of the software (%d allowed)", streams, takenUp, mixed, mixedAllowed)
	return mixed > mixedAllowed, nil
}

// streamOf plays one stream of a client, which takes it up once. It returns the versions of
// which it has events, and the number of attempts.
func streamOf(w *world, n int) (map[string]bool, int) {
	versions := make(map[string]bool)
	last, origin := "", ""
	until := time.Now().Add(streamDeadline)
	for attempt := 1; ; attempt++ {
		f := w.fronts[rand.IntN(len(w.fronts))]
		q := call{
			ID: newID(), Method: "POST", Path: "/pufi791/4b", Host: routeHost, Deadline: time.Until(until),
			Header: map[string]string{
				"Authorization": "Bearer " + apiKey, "X-Model": "m", "X-Token-Count": fmt.Sprintf("40,%d", turnMost), "X-Prompt-Prefix": "5c1e07a2:40",
			},
			Body: []byte(fmt.Sprintf("prompt %d\n", n)),
		}
		if last != "" {
			q.Header["Last-Event-Id"], q.Header["Resumes"] = last, origin
		}
		conn, err := dialClient(f.caller)
		if err != nil {
			return versions, attempt
		}
		a := conn.do(q)
		_ = conn.Close()
		first, newest := 0, 0
		for _, event := range strings.Split(string(a.body), "\n\n") {
			id, data, ok := strings.Cut(event, "\ndata: ")
			if !ok || a.status != 200 {
				continue
			}
			newest, _ = strconv.Atoi(strings.TrimPrefix(id, "id: "))
			if first == 0 {
				first = newest
			}
			versions[data[strings.LastIndex(data, " ")+1:]] = true
		}
		if newest > 0 {
			last = strconv.Itoa(newest)
			if origin == "" {
				origin = q.ID
			}
		}
		if !a.whole || attempt > 1 || len(versions) > 1 {
			w.note("stream %d: %s by way of %s, events %d to %d, versions so far %v: %s", n, q.ID, f.name, first, newest, versions, a)
		}
		if a.whole && a.status == 200 || attempt == 2 {
			return versions, attempt
		}
	}
}
