package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// crashText is the body that crashes each engine that begins to run it.
	crashText = "a body that crashes its engine"
	// engineBack is how long a crashed engine takes to start again.
	engineBack   = 3 * time.Second
	crashSends   = 14
	crashPause   = 1500 * time.Millisecond
	maxRetries   = 3
	crashEngines = 6
)

// crashes counts the engines that a request has crashed.
type crashes struct {
	mu    sync.Mutex
	times []time.Time
}

func (c *crashes) add(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times = append(c.times, at)
}

// third returns when the third engine crashed.
func (c *crashes) third() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.times) < 3 {
		return time.Time{}, false
	}
	return c.times[2], true
}

func init() { cases["poison"] = poisonCase }

// poisonCase checks that a request which has crashed three engines is held off.
func poisonCase(rec *record, trouble bool) bool {
	f := newFleet(rec, "a", "b", "c")
	endLater(f)
	f.store.write("op", "config", chatConfig())
	crashed := &crashes{}
	for i := range crashEngines {
		addCrashing(f, crashed, fmt.Sprintf("d-%d", i), "abc"[i%3:i%3+1])
	}
	f.start()
	time.Sleep(3 * time.Second)
	var bookings []booking
	var wg sync.WaitGroup
	wg.Go(func() {
		bookings = book(rec, f.instances[0], time.Now().Add(crashSends*crashPause))
	})
	retries, reached := 0, 0
	for i := range crashSends {
		sent := time.Now()
		if trouble {
			before := crashed.count()
			o := call{method: http.MethodPost, path: "/book/visit", body: crashText, deadline: 1500 * time.Millisecond}.send(f.pick(i))
			ran := crashed.count() > before
			rec.write("crashing request %s, send %d: status %d, error %v, reached an engine: %t", o.id, i+1, o.status, o.err, ran)
			if third, ok := crashed.third(); ok && ran && sent.After(third.Add(contactMs*time.Millisecond)) {
				reached++
			}
			retries++
		}
		time.Sleep(time.Until(sent.Add(crashPause)))
	}
	wg.Wait()
	lost := 0
	for _, b := range bookings {
		if b.outcome.status != http.StatusOK {
			lost++
		}
	}
	rec.conclude("the crashing request was sent %d times and crashed %d engines; %d of the sends later than %d ms after the third crash reached an engine, %d are allowed; %d of %d other requests were not served",
		retries, crashed.count(), reached, contactMs, maxRetries, lost, len(bookings))
	return reached > maxRetries
}

func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.times)
}

// addCrashing starts an engine that crashes on the body, and starts again with a new ID.
func addCrashing(f *fleet, crashed *crashes, id, zone string) {
	e := &engine{store: f.store, record: f.record, id: id, service: "desk", zone: zone, slots: 6, workTime: 120 * time.Millisecond}
	e.reads = func(e *engine, body string) {
		if body != crashText {
			return
		}
		crashed.add(time.Now())
		f.record.write("engine %s crashes", e.id)
		e.stop()
		// The store drops the entry after three heartbeats of silence.
		time.AfterFunc(3*heartbeat, func() { f.store.remove("servers", e.id) })
		time.AfterFunc(engineBack, func() { addCrashing(f, crashed, id+"x", zone) })
	}
	f.startEngine(e)
}
