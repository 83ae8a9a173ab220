package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

const (
	releaseEngines  = 12
	releaseFronts   = 3
	releasePrograms = 24
	// Each releaseGap an engine is replaced: the new one, of another version, starts first, and
	// the old one drains. With trouble the new one crashes for good after releaseLife.
	releaseCrashes = 5
	releaseGap     = 1500 * time.Millisecond
	releaseLife    = 450 * time.Millisecond
	releaseBudget  = 100 * turnMost
	drainTime      = 4 * time.Second
	releaseAim     = 40 * time.Second
	// firstPause is the time between the first turns of the other tenant.
	firstPause = 150 * time.Millisecond
	// loadPause is the time between the starts of the tenant's programs of one turn.
	loadPause = 10 * time.Millisecond
	// settle is how long after contact the programs go on.
	settle = 300 * time.Millisecond
)

// badRelease replaces engines by ones of a new version, which crash one after the other while
// a tenant's turns run there, and then goes on with the tenant's programs.
func badRelease(w *world) (bool, error) {
	config := func(id, version string, zone int) engineConfig {
		return engineConfig{
			ID: id, Service: "huvo11a", Zone: zoneOf(zone), Version: version, Slots: homeSlots, Gap: turnGap, Events: turnEvents,
			Streams: []string{"/lohu930/"}, Down: time.Hour,
		}
	}
	var engines []engineConfig
	for i := range releaseEngines {
		engines = append(engines, config(fmt.Sprintf("i-model%d", i), oldVersion, i))
	}
	var names []string
	for i := range releaseFronts {
		names = append(names, fmt.Sprintf("front-%d", i+1))
	}
	routes, services := turnRoute(turnDeadline)
	if err := w.setUp(routes, services, engines, names); err != nil {
		return false, err
	}
	begin := time.Now()
	stop := make(chan struct{})
	var first, programs sync.WaitGroup
	var mu sync.Mutex
	var calm time.Time
	asked, reached := 0, 0
	first.Go(func() {
		var each sync.WaitGroup
		defer each.Wait()
		for {
			select {
			case <-stop:
				return
			case <-time.After(firstPause):
			}
			each.Go(func() {
				id := newID()
				a := w.releaseTurn(otherKey, id, "b-"+id, "", time.Now())
				ran := w.ranAt(id) != ""
				w.note("other tenant, first turn %s: reached an engine %v, %s", id, ran, a)
				mu.Lock()
				defer mu.Unlock()
				if !calm.IsZero() && a.sentAt.After(calm) {
					asked++
					if ran {
						reached++
					}
				}
			})
		}
	})
	last := make([]string, releasePrograms)
	for i := range releasePrograms {
		programs.Go(func() {
			for time.Since(begin) < releaseGap*releaseCrashes+releaseLife {
				id := newID()
				a := w.releaseTurn(apiKey, id, fmt.Sprintf("a-%d", i), last[i], begin)
				w.note("program %d turn %s after %q: %s", i, id, last[i], a)
				if a.whole && a.status == 200 {
					last[i] = id
				}
				time.Sleep(thinkTime)
			}
		})
	}
	programs.Go(func() {
		for time.Since(begin) < releaseGap*releaseCrashes+releaseLife {
			time.Sleep(loadPause)
			programs.Go(func() {
				id := newID()
				a := w.releaseTurn(apiKey, id, "c-"+id, "", time.Now())
				w.note("program of one turn %s: %s", id, a)
			})
		}
	})
	for n := range releaseCrashes {
		time.Sleep(time.Until(begin.Add(releaseGap * time.Duration(n+1))))
		e, err := startEngine(w.store, &w.taken, config(fmt.Sprintf("i-new%d", n), newVersion, n))
		if err != nil {
			return false, err
		}
		w.engines = append(w.engines, e)
		w.engines[n].drain(drainTime)
		w.note("%s starts with software %s, and %s drains", e.config.ID, newVersion, w.engines[n].config.ID)
		time.Sleep(releaseLife)
		if w.trouble {
			e.crash(e.config.ID)
			w.note("%s crashed for good", e.config.ID)
		}
	}
	mu.Lock()
	calm = time.Now().Add(contact)
	mu.Unlock()
	programs.Wait()
	time.Sleep(time.Until(calm.Add(settle)))
	lost, went := 0, 0
	for i := range releasePrograms {
		programs.Go(func() {
			tries, ran := w.releaseTries(i, last[i], begin)
			mu.Lock()
			defer mu.Unlock()
			if ran {
				went++
			}
			if !ran && last[i] != "" && tries >= triesToCount {
				lost++
			}
		})
	}
	programs.Wait()
	close(stop)
	first.Wait()
	w.noteRuns()
	w.note("%d of %d programs went on; first turns of the other tenant since then: %d of %d reached an engine; at most %d of %d slots taken",
		went, releasePrograms, reached, asked, w.taken.peak(), (releaseEngines-releaseCrashes)*homeSlots)
	w.note("%d turns that go on from a whole one reached no engine in %d tries or more", lost, triesToCount)
	return lost > 0 && 10*reached >= 9*asked && 2*w.taken.peak() < (releaseEngines-releaseCrashes)*homeSlots, nil
}

// releaseTries sends one more turn of the program: with one retry each time, and twice more
// from its start. It returns the number of tries, and whether one reached an engine.
func (w *world) releaseTries(program int, previous string, begin time.Time) (tries int, ran bool) {
	for again := range 3 {
		if again > 0 {
			time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
		}
		for range 2 {
			id := newID()
			a := w.releaseTurn(apiKey, id, fmt.Sprintf("a-%d", program), previous, begin)
			tries++
			ran = ran || w.ranAt(id) != ""
			w.note("program %d goes on from %s with %s: reached an engine %v, %s %s", program, previous, id, ran, a, a.body[:min(len(a.body), 60)])
			if ran || a.status != 503 {
				return tries, ran
			}
			// A Retry-After beyond a third of the time that is left isn't honoured.
			if wait := a.retryAfter(); wait <= turnDeadline/3 {
				time.Sleep(wait)
			}
		}
	}
	return tries, ran
}

func (w *world) releaseTurn(key, id, program, previous string, begin time.Time) answer {
	conn, err := dialClient(w.fronts[rand.IntN(releaseFronts)].caller)
	if err != nil {
		return answer{sentAt: time.Now()}.fail(err)
	}
	defer conn.Close()
	q := call{
		ID: id, Method: "POST", Path: "/lohu930/4b", Host: routeHost, Deadline: turnDeadline, Body: []byte("input " + id + "\n"),
		Header: map[string]string{
			"Authorization": "Bearer " + key, "X-Model": "m", "X-Program-Id": program, "X-Session-Id": program,
			"X-Program-Deadline-Ms": strconv.FormatInt(max(1, time.Until(begin.Add(releaseAim)).Milliseconds()), 10),
			"X-Token-Budget":        strconv.Itoa(releaseBudget), "X-Token-Count": fmt.Sprintf("40,%d", turnMost), "X-Prompt-Prefix": "5c1e07a2:40",
		},
	}
	if previous != "" {
		q.Header["X-Previous-Turn"] = previous
	}
	return conn.do(q)
}
