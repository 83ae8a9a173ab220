package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["secondhome"] = secondHome }

const (
	programBudget = 4576
	turnTokens    = 572
	stride        = 26
	programs      = 80
	machines      = 10
)

// looper is a program that loops without end: it sends turns until it is stopped, and returns
// later.
type looper struct {
	name   string
	mu     sync.Mutex
	tokens int
}

// secondHome has two outages of the store. At the end of the first one a machine stands still;
// then it is restarted as planned, and the second one comes long after that.
func secondHome(f *fleet) {
	f.store.put("op", "config", config(7, 0, 0))
	for i := range 3 {
		e := f.newEngine(fmt.Sprintf("i-m%d", i), "models", "v1")
		e.events, e.pause = turnTokens/stride, 8*time.Millisecond
		f.engines = append(f.engines, e)
		e.start()
	}
	for i := range machines {
		f.addFront(fmt.Sprintf("front-%d", i), fmt.Sprintf("z%d", i%3+1))
	}
	f.startFronts()
	time.Sleep(8 * time.Second)
	loopers := make([]*looper, programs)
	for i := range loopers {
		loopers[i] = &looper{name: fmt.Sprintf("loop%d", i)}
	}
	a := f.fronts[0]

	// The first outage, of 4.5 s. The programs begin in it, at all machines.
	f.outage(f.trouble)
	begin := time.Now()
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	for i, l := range loopers {
		clients.Go(func() { f.loop(l, f.fronts[i%machines:], begin.Add(4*time.Second), 2) })
	}
	time.Sleep(time.Until(begin.Add(4200 * time.Millisecond)))
	clients.Wait()
	if f.trouble {
		a.signal(syscall.SIGSTOP)
	}
	time.Sleep(time.Until(begin.Add(4500 * time.Millisecond)))
	f.outage(false)
	// They go on at the other machines for 3 s and are stopped.
	for i, l := range loopers {
		clients.Go(func() { f.loop(l, f.fronts[1+i%(machines-1):2+i%(machines-1)], begin.Add(7500*time.Millisecond), 20) })
	}
	time.Sleep(time.Until(begin.Add(7700 * time.Millisecond)))
	if f.trouble {
		a.signal(syscall.SIGCONT)
	}
	clients.Wait()
	time.Sleep(3 * time.Second)

	// Planned work: the machine is stopped and started.
	a.signal(syscall.SIGTERM)
	select {
	case <-a.exited:
	case <-time.After(8 * time.Second):
		a.kill()
	}
	a.start()
	if !a.waitReady(8 * time.Second) {
		f.end(2, a.name+" is not ready again: "+a.lastLine())
	}
	time.Sleep(12 * time.Second)

	// The second outage, of 4.5 s. The programs return in it.
	f.outage(f.trouble)
	begin = time.Now()
	time.Sleep(2 * time.Second)
	for i, l := range loopers {
		clients.Go(func() { f.loop(l, f.fronts[i%machines:], begin.Add(4500*time.Millisecond), 20) })
	}
	time.Sleep(time.Until(begin.Add(4500 * time.Millisecond)))
	f.outage(false)
	clients.Wait()
	broken, most := 0, 0
	for _, l := range loopers {
		f.trace.note("program", "name", l.name, "tokens", l.tokens)
		if l.tokens > programBudget+turnTokens {
			broken++
		}
		most = max(most, l.tokens)
	}
	verdict := fmt.Sprintf("%d of %d programs beyond %d + %d tokens, the most %d", broken, programs, programBudget, turnTokens, most)
	if most == 0 {
		f.end(2, "no turn was served: "+verdict)
	}
	if broken > 0 {
		f.end(1, "BUDGET: "+verdict)
	}
	f.end(0, "held: "+verdict)
}

// outage turns all machines away from the store, or serves them again.
func (f *fleet) outage(down bool) {
	mode := modeServe
	if down {
		mode = modeBusy
	}
	f.trace.note("store", "mode", mode)
	f.store.setAll(mode)
}

// loop sends turns, one after the other, until it has had the number of turns or the time is over.
func (f *fleet) loop(l *looper, at []*front, until time.Time, turns int) {
	served := 0
	for n := 0; served < turns && time.Now().Before(until); n++ {
		a := f.streamOnce(at[n%len(at)], "/chat/1", time.Now().Add(streamTime), map[string]string{
			"X-Program-Id": l.name, "X-Session-Id": l.name, "X-Program-Deadline-Ms": "60000",
			"X-Token-Budget": fmt.Sprint(programBudget), "X-Token-Count": fmt.Sprintf("1840,%d", turnTokens),
		}, clientGap)
		l.mu.Lock()
		l.tokens += a.events * stride
		l.mu.Unlock()
		if a.events > 0 {
			served++
			continue
		}
		time.Sleep(max(a.retry, 100*time.Millisecond))
	}
}
