package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// cutFor and killFor are the largest lengths of a single machine that is cut off
	// from the store, and of many that are killed at the same moment, in the site's days.
	cutFor  = 5500 * time.Millisecond
	killFor = time.Second
	// servesOn is how long the engine serves after its entry was removed.
	servesOn = 12 * time.Second
)

// booking is one call of a client.
type booking struct {
	sent    time.Time
	outcome outcome
}

func init() { cases["drain"] = drainCase }

// drainCase checks that an engine whose entry was removed gets no more requests from an
// instance that was cut off from the store meanwhile and is in touch again, though the
// other instance was restarted.
func drainCase(rec *record, trouble bool) bool {
	f := newFleet(rec, "a", "b", "c", "d")
	endLater(f)
	f.store.write("op", "config", chatConfig())
	var mu sync.Mutex
	ranAtLeaving := make(map[string]time.Time)
	for i, zone := range []string{"a", "b", "c", "d", "a", "b"} {
		f.addEngine(fmt.Sprintf("d-%d", i), "desk", zone, 6, 120*time.Millisecond)
	}
	leaving := f.engines[0]
	leaving.runs = func(_ *engine, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		ranAtLeaving[r.Header.Get("X-Request-Id")] = time.Now()
	}
	f.start()
	time.Sleep(3 * time.Second)
	cut, others := f.instances[0], f.instances[1:]
	begin := time.Now()
	if trouble {
		cut.path.set(pathSilent)
		rec.write("%s is cut off from the store", cut.name)
		time.Sleep(500 * time.Millisecond)
		for _, other := range others {
			other.kill()
			rec.write("%s is killed", other.name)
			time.AfterFunc(killFor, other.start)
		}
		time.AfterFunc(cutFor-500*time.Millisecond, func() {
			cut.path.set(pathSound)
			rec.write("%s reaches the store again", cut.name)
		})
	}
	time.Sleep(time.Until(begin.Add(time.Second)))
	leaving.unlist()
	removed := time.Now()
	rec.write("the entry of engine %s is removed; it serves on for %s", leaving.id, servesOn)
	time.AfterFunc(servesOn, func() {
		leaving.stop()
		rec.write("engine %s exits", leaving.id)
	})
	// The instance is in touch, and the removal older than the drain time.
	inTouch := begin.Add(cutFor + contactMs*time.Millisecond + 200*time.Millisecond)
	time.Sleep(time.Until(inTouch))
	bookings := book(rec, cut, removed.Add(servesOn+time.Second))
	late, lost := 0, 0
	for _, b := range bookings {
		mu.Lock()
		at, ran := ranAtLeaving[b.outcome.id]
		mu.Unlock()
		if !ran {
			continue
		}
		late++
		rec.write("request %s ran at engine %s %.1f s after the removal of its entry", b.outcome.id, leaving.id, at.Sub(removed).Seconds())
		if b.outcome.status != http.StatusOK {
			lost++
		}
	}
	rec.conclude("%d of %d requests ran at the engine that had left, more than %d ms after the removal of its entry; %d of them were lost when it exited",
		late, len(bookings), drainMs, lost)
	return late > 0
}

// book sends calls that may not be repeated to the instance until the time.
func book(rec *record, in *instance, until time.Time) []booking {
	var mu sync.Mutex
	var bookings []booking
	var wg sync.WaitGroup
	for time.Now().Before(until) {
		wg.Go(func() {
			sent := time.Now()
			o := call{method: http.MethodPost, path: "/book/visit", body: "one visit", deadline: 1500 * time.Millisecond}.send(in)
			rec.write("request %s at %s: status %d, whole: %t, error: %v", o.id, in.name, o.status, o.whole, o.err)
			mu.Lock()
			defer mu.Unlock()
			bookings = append(bookings, booking{sent: sent, outcome: o})
		})
		time.Sleep(60 * time.Millisecond)
	}
	wg.Wait()
	return bookings
}
