package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// programEvery is the time between the starts of two programs.
	programEvery = 15 * time.Millisecond
	// restartAfter is the platform's short delay before a process starts again.
	restartAfter = 300 * time.Millisecond
	programAim   = 5200 * time.Millisecond
	// lostTries is how many tries of one turn at machines in touch may not all fail to
	// reach an engine.
	lostTries   = 5
	programLoad = 3500 * time.Millisecond
)

// conversation is a program whose turns continue one another.
type conversation struct {
	number int
	id     string
	// previous is the last turn that was answered whole.
	previous string
	turns    int
	// firstFailed is set if no try of the first turn reached an engine.
	firstFailed bool
	// lost describes a later turn that reached no engine.
	lost string
}

func init() { cases["restart"] = restartCase }

// restartCase checks that conversations can be continued while instances are stopped as
// planned and started again, one after the other.
func restartCase(rec *record, trouble bool) bool {
	f := newFleet(rec, "a", "b", "c", "d")
	endLater(f)
	f.store.write("op", "config", talkConfig())
	var mu sync.Mutex
	ran := make(map[string]bool)
	for i, zone := range []string{"a", "b", "c"} {
		e := f.addEngine(fmt.Sprintf("i-%d", i), "models", zone, 48, time.Millisecond)
		e.runs = func(_ *engine, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			ran[r.Header.Get("X-Request-Id")] = true
		}
	}
	f.start()
	time.Sleep(4 * time.Second)
	reached := func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		return ran[id]
	}
	var all []*conversation
	for _, in := range f.instances[1:] {
		if trouble {
			restart(rec, in)
		}
		all = append(all, converse(f, len(all), reached)...)
	}
	lost, firstFailed := 0, 0
	for _, c := range all {
		if c.firstFailed {
			firstFailed++
		}
		if c.lost != "" {
			lost++
			rec.write("program %s: %s", c.id, c.lost)
		}
	}
	rec.conclude("%d of %d programs: a turn that continues another one reached no engine in %d tries or more at machines in touch; first turns that reached none: %d",
		lost, len(all), lostTries, firstFailed)
	return lost > 0 && firstFailed*10 <= len(all)
}

// restart stops the instance as planned and starts it again.
func restart(rec *record, in *instance) {
	in.setTouch(time.Time{})
	in.signal(syscall.SIGTERM)
	rec.write("%s gets SIGTERM", in.name)
	select {
	case <-in.exited:
	case <-time.After(graceS * time.Second):
		in.kill()
	}
	rec.write("%s has ended", in.name)
	time.Sleep(restartAfter)
	in.start()
	in.setTouch(time.Now().Add(contactMs * time.Millisecond))
}

// converse starts programs for a while and returns them when they have ended.
func converse(f *fleet, first int, reached func(id string) bool) []*conversation {
	begin := time.Now()
	var all []*conversation
	var wg sync.WaitGroup
	for time.Since(begin) < programLoad {
		c := &conversation{number: first + len(all), id: newID()[:6]}
		all = append(all, c)
		wg.Go(func() { c.run(f, reached) })
		time.Sleep(programEvery)
	}
	wg.Wait()
	return all
}

func (c *conversation) run(f *fleet, reached func(id string) bool) {
	aim := time.Now().Add(programAim)
	for c.turns < programBudget/turnTokens {
		if !c.turn(f, reached, aim) {
			return
		}
	}
}

// turn sends one turn, up to three times with one retry each, and reports whether it was
// answered whole.
func (c *conversation) turn(f *fleet, reached func(id string) bool, aim time.Time) bool {
	tries, inTouch, ran := 0, 0, false
	for send := range 3 {
		start := time.Now()
		if send > 0 {
			time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
		}
		for try := range 2 {
			in := f.pick(c.number + try)
			sent := time.Now()
			o := call{
				method: http.MethodPost, path: "/talk/turn", body: "the new input", deadline: turnDeadline - time.Since(start),
				header: c.headers(aim),
			}.send(in)
			f.record.write("program %s, turn %d, try %s at %s: status %d, %d events, whole: %t %s", c.id, c.turns+1, o.id, in.name, o.status, o.events, o.whole, o.body)
			ran = ran || reached(o.id)
			tries++
			if in.inTouch(sent) && sent.Before(aim) {
				inTouch++
			}
			if o.status == http.StatusOK && o.whole {
				c.turns, c.previous = c.turns+1, o.id
				return true
			}
			if o.status == http.StatusPaymentRequired || o.status == http.StatusNotFound {
				return false
			}
			time.Sleep(min(o.retryAfter, (turnDeadline-time.Since(start))/3))
		}
	}
	switch {
	case ran:
	case c.previous == "":
		c.firstFailed = true
	case inTouch >= lostTries:
		c.lost = fmt.Sprintf("turn %d, which continues %s, reached no engine in %d tries, %d of them at machines in touch", c.turns+1, c.previous, tries, inTouch)
	}
	return false
}

func (c *conversation) headers(aim time.Time) map[string]string {
	h := map[string]string{
		"X-Program-Id": c.id, "X-Session-Id": c.id, "X-Program-Deadline-Ms": strconv.FormatInt(max(1, time.Until(aim).Milliseconds()), 10),
		"X-Token-Budget": strconv.Itoa(programBudget), "X-Token-Count": "1840," + strconv.Itoa(turnTokens), "X-Model": "m",
	}
	if c.previous != "" {
		h["X-Previous-Turn"] = c.previous
	}
	return h
}
