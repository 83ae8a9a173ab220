package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["takeup"] = takeUp }

// reconnect is how long a client waits before it connects again.
const reconnect = 800 * time.Millisecond

type takeUps struct {
	mu                  sync.Mutex
	taken, wentOn       int
	newSent, newStarted int
}

// takeUp kills one of three machines, and a release brings the first engine of a new software
// version before the clients take their streams up at the other machines.
func takeUp(f *fleet) {
	f.store.put("op", "config", config(7, 0, 0))
	for i := range 3 {
		e := f.newEngine(fmt.Sprintf("i-old%d", i), "models", "v1")
		f.engines = append(f.engines, e)
		e.start()
	}
	core := f.newEngine("i-core", "core", "v1")
	f.engines = append(f.engines, core)
	core.start()
	for _, name := range []string{"front-a-1", "front-b-1", "front-c-1"} {
		f.addFront(name, "z1")
	}
	f.startFronts()
	time.Sleep(3 * time.Second)

	var t takeUps
	var clients sync.WaitGroup
	begin := time.Now()
	killed := make(chan struct{})
	for i := range 3 {
		p := f.fronts[i]
		clients.Go(func() {
			for time.Since(begin) < 8*time.Second {
				select {
				case <-killed:
					if i == 0 && f.trouble {
						return
					}
				default:
				}
				clients.Go(func() { f.streamWithTakeUp(p, i, &t, begin) })
				time.Sleep(streamPeriod)
			}
		})
	}
	time.Sleep(4 * time.Second)
	newcomer := f.newEngine("i-new0", "models", "v2")
	f.engines = append(f.engines, newcomer)
	if f.trouble {
		f.fronts[0].signal(syscall.SIGKILL)
		close(killed)
		<-f.fronts[0].exited
	}
	time.Sleep(200 * time.Millisecond)
	newcomer.start()
	if f.trouble {
		time.Sleep(800 * time.Millisecond)
		f.fronts[0].start()
	}
	clients.Wait()
	f.judgeTakeUps(&t)
}

// judgeTakeUps compares the share of streams that went on with that of new ones that began.
func (f *fleet) judgeTakeUps(t *takeUps) {
	share := func(n, of int) float64 { return float64(n) / float64(max(1, of)) }
	verdict := fmt.Sprintf("taken up %d, went on %d (%.2f); new streams %d, begun %d (%.2f)",
		t.taken, t.wentOn, share(t.wentOn, t.taken), t.newSent, t.newStarted, share(t.newStarted, t.newSent))
	if t.newSent < 12 || f.trouble && t.taken < 12 {
		f.end(2, "too few streams: "+verdict)
	}
	if t.taken >= 12 && share(t.wentOn, t.taken) < share(t.newStarted, t.newSent)/2 {
		f.end(1, "LOST: "+verdict)
	}
	f.end(0, "held: "+verdict)
}

// streamWithTakeUp runs one stream. If its connection breaks, the client takes it up at the
// next machine until its deadline.
func (f *fleet) streamWithTakeUp(p *front, index int, t *takeUps, begin time.Time) {
	deadline := time.Now().Add(streamTime)
	first := f.streamOnce(p, "/chat/1", deadline, nil, clientGap)
	t.mu.Lock()
	// New streams count at the machines without a disruption, while streams are taken up.
	if index > 0 && first.sent.Sub(begin) > 4*time.Second {
		t.newSent++
		if first.events > 0 {
			t.newStarted++
		}
	}
	t.mu.Unlock()
	if first.err == nil || first.events == 0 || first.status != 200 {
		return
	}
	time.Sleep(reconnect)
	went := false
	tries := 0
	for time.Until(deadline) > 100*time.Millisecond && !went && tries < 4 {
		q := f.fronts[1+(index+tries)%2]
		tries++
		a := f.streamOnce(q, "/chat/1", deadline, map[string]string{"Last-Event-Id": fmt.Sprint(first.last), "Resumes": first.id}, clientGap)
		went = a.events > 0
		if !went {
			time.Sleep(max(a.retry, 50*time.Millisecond))
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.taken++
	if went {
		t.wentOn++
	}
}
