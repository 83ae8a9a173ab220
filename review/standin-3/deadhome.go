package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

const (
	homeFronts  = 8
	homeEngines = 9
	homeSlots   = 32
	// A turn generates turnEvents events of stride tokens, which is the most that it may.
	turnEvents    = 10
	turnStride    = 20
	turnMost      = turnEvents * turnStride
	turnGap       = 60 * time.Millisecond
	turnDeadline  = 4 * time.Second
	programTurns  = 4
	programBudget = programTurns * turnMost
	thinkTime     = 60 * time.Millisecond
	// programAim is 1.8 times the time on idle engines and the objective.
	programAim = 18 * programTurns * (turnEvents*turnGap + thinkTime) / 10
	// programPause is the time between the starts of two programs.
	programPause = 25 * time.Millisecond

	killAt       = 3 * time.Second
	replacedIn   = 2 * time.Second
	contact      = 3 * time.Second
	startUntil   = 11 * time.Second
	triesToCount = 5
)

// try is one client attempt at a turn.
type try struct {
	sent    time.Time
	reached bool
}

// deadHome removes one machine for good while programs run, and adds an empty one at
// another address.
func deadHome(w *world) (bool, error) {
	var engines []engineConfig
	for i := range homeEngines {
		engines = append(engines, engineConfig{
			ID: fmt.Sprintf("i-model%d", i), Service: "huvo11a", Zone: zoneOf(i), Version: "v1", Slots: homeSlots,
			Gap: turnGap, Events: turnEvents, Streams: []string{"/lohu930/"},
		})
	}
	var names []string
	for i := range homeFronts {
		names = append(names, fmt.Sprintf("front-%d", i+1))
	}
	routes, services := turnRoute(turnDeadline)
	if err := w.setUp(routes, services, engines, names); err != nil {
		return false, err
	}
	g := &programs{w: w, begin: time.Now()}
	g.fronts = append(g.fronts, w.fronts...)
	var all sync.WaitGroup
	if w.trouble {
		all.Go(g.replaceOne)
	}
	for n := 0; time.Since(g.begin) < startUntil; n++ {
		all.Go(g.run)
		time.Sleep(programPause)
	}
	all.Wait()
	w.noteRuns()
	return g.judge(), g.err
}

// programs are the clients' programs of one case.
type programs struct {
	w     *world
	begin time.Time

	mu     sync.Mutex
	fronts []*front
	killed time.Time
	err    error
	// first counts the first turns since contact, reached those that reached an engine.
	first, reached int
	lost           int
	whole, failed  int
}

// replaceOne ends a machine for good; an empty one comes at another address.
func (g *programs) replaceOne() {
	time.Sleep(killAt)
	g.mu.Lock()
	victim := g.fronts[0]
	// The balancer finds it out of rotation by its health checks.
	g.fronts = g.fronts[1:]
	g.killed = time.Now()
	g.mu.Unlock()
	victim.kill()
	g.w.note("%s killed for good", victim.name)
	time.Sleep(replacedIn)
	err := g.w.addFront(fmt.Sprintf("front-%d", homeFronts+1), victim.zone, false)
	added := g.w.fronts[len(g.w.fronts)-1]
	if err == nil {
		err = awaitReady(added)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.err = err
	if err == nil {
		g.fronts = append(g.fronts, added)
		g.w.note("%s came at another address and is ready", added.name)
	}
}

// run plays one program. Each turn names the one before.
func (g *programs) run() {
	program, start := newID()[:12], time.Now()
	previous := ""
	for turn := 1; turn <= programTurns; turn++ {
		id, tries := g.turn(program, previous, turn, start)
		g.count(program, previous, turn, start, tries)
		if id == "" {
			return
		}
		previous = id
		time.Sleep(thinkTime)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.whole++
}

// turn sends one turn until it is answered whole: each time with one retry, and twice more
// from its start. It returns the ID that was answered, or an empty one.
func (g *programs) turn(program, previous string, turn int, start time.Time) (string, []try) {
	var tries []try
	for again := range 3 {
		if again > 0 {
			time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
		}
		until := time.Now().Add(turnDeadline)
		for range 2 {
			id := newID()
			a := g.attempt(id, program, previous, turn, start, time.Until(until))
			reached := g.w.ranAt(id) != ""
			tries = append(tries, try{sent: a.sentAt, reached: reached})
			g.w.note("program %s turn %d after %q: %s reached an engine: %v; %s", program, turn, previous, id, reached, a)
			if a.whole && a.status == 200 {
				return id, tries
			}
			if a.status == 402 || a.status == 404 || a.status == 401 || a.status == 400 {
				return "", tries
			}
			if a.status != 503 && a.status != 429 {
				break
			}
			if wait := a.retryAfter(); wait <= time.Until(until)/3 {
				time.Sleep(wait)
			}
		}
	}
	return "", tries
}

func (g *programs) attempt(id, program, previous string, turn int, start time.Time, left time.Duration) answer {
	g.mu.Lock()
	f := g.fronts[rand.IntN(len(g.fronts))]
	g.mu.Unlock()
	conn, err := dialClient(f.caller)
	if err != nil {
		return answer{sentAt: time.Now()}.fail(err)
	}
	defer conn.Close()
	q := call{
		ID: id, Method: "POST", Path: "/lohu930/4b", Host: routeHost, Deadline: left,
		Header: map[string]string{
			"Authorization": "Bearer " + apiKey, "X-Model": "m", "X-Program-Id": program, "X-Session-Id": program,
			"X-Program-Deadline-Ms": strconv.FormatInt(max(1, time.Until(start.Add(programAim)).Milliseconds()), 10),
			"X-Token-Budget":        strconv.Itoa(programBudget), "X-Token-Count": fmt.Sprintf("40,%d", turnMost),
			"X-Prompt-Prefix": "5c1e07a2:40",
		},
		Body: []byte(fmt.Sprintf("input %d of %s\n", turn, program)),
	}
	if previous != "" {
		q.Header["X-Previous-Turn"] = previous
	}
	return conn.do(q)
}

// count judges the tries of one turn by the rule.
func (g *programs) count(program, previous string, turn int, start time.Time, tries []try) {
	g.mu.Lock()
	defer g.mu.Unlock()
	from := g.begin
	if !g.killed.IsZero() {
		from = g.killed.Add(contact)
	}
	unreached, reached := 0, false
	for _, t := range tries {
		reached = reached || t.reached
		if !t.reached && t.sent.After(from) && t.sent.Before(start.Add(programAim)) {
			unreached++
		}
	}
	if previous == "" && tries[0].sent.After(from) {
		g.first++
		if reached {
			g.reached++
		}
	}
	if !reached {
		g.failed++
	}
	if previous != "" && !reached && unreached >= triesToCount {
		g.lost++
		g.w.note("program %s: turn %d goes on from %s, which was answered whole, and reached no engine in %d tries in touch",
			program, turn, previous, unreached)
	}
}

// judge reports whether the rule was broken, with its two conditions.
func (g *programs) judge() bool {
	peak, slots := g.w.taken.peak(), int64(homeEngines*homeSlots)
	calm := 10*g.reached >= 9*g.first && 2*peak < slots
	g.w.note("%d programs ended whole; %d turns reached no engine; first turns since then: %d of %d reached one; at most %d of %d slots taken",
		g.whole, g.failed, g.reached, g.first, peak, slots)
	g.w.note("%d turns that go on from a whole one reached no engine in %d tries or more", g.lost, triesToCount)
	return calm && g.lost > 0
}
