package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["upgrade"] = upgrade }

// upgrade restarts the engines one after the other under their own IDs with a new software
// version, while the store is down.
func upgrade(f *fleet) {
	f.store.put("op", "config", config(7, 0, 0))
	for i := range 3 {
		e := f.newEngine(fmt.Sprintf("i-m%d", i), "models", "v1")
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
	var mu sync.Mutex
	joined, total := 0, 0
	var clients sync.WaitGroup
	begin := time.Now()
	for i := range 3 {
		clients.Go(func() {
			for time.Since(begin) < 8*time.Second {
				clients.Go(func() {
					a := f.streamOnce(f.fronts[i], "/chat/1", time.Now().Add(streamTime), nil, clientGap)
					mu.Lock()
					defer mu.Unlock()
					total++
					if len(a.versions) > 1 {
						joined++
					}
				})
				time.Sleep(streamPeriod)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if f.trouble {
		f.trace.note("store down")
		f.store.setAll(modeBusy)
	}
	time.Sleep(500 * time.Millisecond)
	for _, e := range f.engines[:3] {
		e.crash()
		e.mu.Lock()
		e.version = "v2"
		e.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		e.start()
		time.Sleep(time.Second)
	}
	f.store.setAll(modeServe)
	f.trace.note("store back")
	clients.Wait()
	verdict := fmt.Sprintf("%d of %d streams hold events of two software versions", joined, total)
	if joined > 2 {
		f.end(1, "ORDER: "+verdict)
	}
	f.end(0, "held: "+verdict)
}
