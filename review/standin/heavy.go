package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// loopEvery is the time between the starts of two programs, loopFor how long
	// programs start.
	loopEvery = 10 * time.Millisecond
	loopFor   = 5 * time.Second
	// stopLead is how long before the outage the planned stop begins.
	stopLead = 900 * time.Millisecond
	// returnAfter is when stopped programs return, after the begin of the outage.
	returnAfter = 2600 * time.Millisecond
)

func init() { cases["heavy"] = heavyCase }

// heavyCase checks that a program gets no more tokens than its budget and one turn,
// though its home is stopped as planned shortly before the store is down.
func heavyCase(rec *record, trouble bool) bool {
	f := newFleet(rec, "a", "b", "c")
	endLater(f)
	f.store.write("op", "config", chatConfig())
	for i, zone := range []string{"a", "b", "c"} {
		f.addEngine(fmt.Sprintf("i-%d", i), "models", zone, 48, time.Millisecond)
	}
	f.start()
	time.Sleep(3 * time.Second)
	begin := time.Now()
	var programs []*program
	var wg sync.WaitGroup
	for time.Since(begin) < loopFor {
		p := &program{id: newID()[:6], number: len(programs)}
		programs = append(programs, p)
		wg.Go(func() { p.run(f, time.Now().Add(2*time.Second)) })
		time.Sleep(loopEvery)
	}
	stopped := f.instances[2]
	if trouble {
		stopped.signal(syscall.SIGTERM)
		rec.write("%s gets SIGTERM", stopped.name)
		go func() {
			select {
			case <-stopped.exited:
			case <-time.After(graceS * time.Second):
				stopped.kill()
			}
			rec.write("%s has ended", stopped.name)
			time.Sleep(restartAfter)
			stopped.start()
		}()
	}
	time.Sleep(stopLead)
	down := time.Now()
	if trouble {
		rec.write("the store is down")
		f.storeState(pathReset)
	}
	wg.Wait()
	time.Sleep(time.Until(down.Add(returnAfter)))
	rec.write("the programs return")
	for _, p := range programs {
		p.spent = false
		wg.Go(func() { p.run(f, down.Add(outage-500*time.Millisecond)) })
	}
	wg.Wait()
	time.Sleep(time.Until(down.Add(outage)))
	if trouble {
		f.storeState(pathSound)
		rec.write("the store is back")
	}
	broken := 0
	for _, p := range programs {
		if p.tokens > programBudget+turnTokens {
			broken++
			rec.write("program %s: %d tokens were handed out of a budget of %d, one turn has %d at the most", p.id, p.tokens, programBudget, turnTokens)
		}
	}
	rec.conclude("%d of %d programs got more than their budget and one turn", broken, len(programs))
	return broken > 0
}
