package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["weights"] = weights }

// splitConfig splits the route of resumable streams over two services.
func splitConfig(version, first, second int) map[string]any {
	c := config(version, 0, 0)
	route := c["routes"].([]map[string]any)[0]
	delete(route, "service")
	route["split"] = []map[string]any{{"service": "models", "weight": first}, {"service": "models-b", "weight": second}}
	services := c["services"].([]map[string]any)
	other := map[string]any{}
	for name, value := range services[0] {
		other[name] = value
	}
	other["name"] = "models-b"
	c["services"] = append(services, other)
	return c
}

// weights changes the weights of a route's two services, and then kills one of three
// machines.
func weights(f *fleet) {
	f.store.put("op", "config", splitConfig(7, 98, 2))
	for _, service := range []string{"models", "models-b"} {
		// Two software versions serve side by side in each service.
		for i := range 4 {
			e := f.newEngine(fmt.Sprintf("i-%s-%d", service, i), service, fmt.Sprintf("v%d", 1+i%2))
			f.engines = append(f.engines, e)
			e.start()
		}
	}
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
	time.Sleep(3800 * time.Millisecond)
	f.store.put("op", "config", splitConfig(9, 2, 98))
	f.trace.note("configuration acknowledged", "version", 9)
	time.Sleep(200 * time.Millisecond)
	if f.trouble {
		f.fronts[0].signal(syscall.SIGKILL)
		close(killed)
		<-f.fronts[0].exited
		time.Sleep(time.Second)
		f.fronts[0].start()
	}
	clients.Wait()
	f.judgeTakeUps(&t)
}
