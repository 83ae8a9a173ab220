package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// programBudget and turnTokens are those of the pages' example of a turn.
	programBudget = 4576
	turnTokens    = 572
	programCount  = 24
	turnDeadline  = 3 * time.Second
	// outage is the largest length of a store that is down in the site file, and
	// killedFor that of a machine that is killed.
	outage    = 7 * time.Second
	killedFor = 3500 * time.Millisecond
)

// program is an agent program that loops without end until its budget is spent.
type program struct {
	id     string
	number int
	tokens int
	spent  bool
}

func init() { cases["budget"] = budgetCase }

// budgetCase checks that a program gets no more tokens than its budget and one turn,
// though the store is down and one instance is killed meanwhile.
func budgetCase(rec *record, trouble bool) bool {
	f := newFleet(rec, "a", "b", "c")
	endLater(f)
	f.store.write("op", "config", chatConfig())
	for i, zone := range []string{"a", "b", "c"} {
		f.addEngine(fmt.Sprintf("i-%d", i), "models", zone, 48, 10*time.Millisecond)
	}
	f.start()
	time.Sleep(3 * time.Second)
	begin := time.Now()
	killed := f.instances[0]
	if trouble {
		rec.write("the store is down")
		f.storeState(pathReset)
		time.AfterFunc(outage-1500*time.Millisecond, func() {
			killed.kill()
			rec.write("%s is killed", killed.name)
			time.AfterFunc(killedFor, killed.start)
		})
		time.AfterFunc(outage, func() {
			f.storeState(pathSound)
			rec.write("the store is back")
		})
	}
	time.Sleep(2200 * time.Millisecond)
	programs := make([]*program, programCount)
	var wg sync.WaitGroup
	for i := range programs {
		programs[i] = &program{id: newID()[:6], number: i}
		wg.Go(func() { programs[i].run(f, begin.Add(40*time.Second)) })
	}
	wg.Wait()
	broken := 0
	for _, p := range programs {
		verdict := "within its budget"
		if p.tokens > programBudget+turnTokens {
			verdict = "BEYOND its budget and one turn"
			broken++
		}
		rec.write("program %s: %d tokens were handed out of a budget of %d, one turn has %d at the most: %s", p.id, p.tokens, programBudget, turnTokens, verdict)
	}
	rec.conclude("%d of %d programs got more than their budget and one turn", broken, programCount)
	return broken > 0
}

// run sends turns until one is told that the budget is spent. A turn that fails is sent
// again; a program that has failed returns later.
func (p *program) run(f *fleet, until time.Time) {
	for !p.spent && time.Now().Before(until) {
		if !p.turn(f) {
			time.Sleep(250 * time.Millisecond)
		}
	}
}

// turn sends one turn with one retry, and reports whether it ended whole.
func (p *program) turn(f *fleet) bool {
	start := time.Now()
	for try := range 2 {
		in := f.pick(p.number + try)
		o := call{
			method: http.MethodPost, path: "/chat/turn", body: "the whole prompt", deadline: turnDeadline - time.Since(start),
			header: map[string]string{
				"X-Program-Id": p.id, "X-Session-Id": p.id, "X-Program-Deadline-Ms": "60000",
				"X-Token-Budget": strconv.Itoa(programBudget), "X-Token-Count": "1840," + strconv.Itoa(turnTokens), "X-Model": "m",
			},
		}.send(in)
		p.tokens += o.events * stride
		f.record.write("program %s, turn %s at %s: status %d, %d events, whole: %t", p.id, o.id, in.name, o.status, o.events, o.whole)
		switch {
		case o.status == http.StatusPaymentRequired:
			p.spent = true
			return true
		case o.status == http.StatusOK && o.whole:
			return true
		case o.events > 0:
			return false
		}
		if wait := min(o.retryAfter, (turnDeadline-time.Since(start))/3); wait > 0 {
			time.Sleep(wait)
		}
	}
	return false
}
