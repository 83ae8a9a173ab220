package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	crowdFronts   = 2
	crowdClients  = 40
	crowdDeadline = 4 * time.Second
	// crowdBytes is below max_body_bytes.
	crowdBytes  = 4_000_000
	crowdTime   = 25 * time.Second
	crowdPause  = 500 * time.Millisecond
	memoryLook  = 5 * time.Millisecond
	restartWait = 500 * time.Millisecond
	// endsToCount and machinesToCount are the rule's.
	endsToCount     = 3
	machinesToCount = 2
)

// memTurn sends many large turns at once, each within the limit on bodies. A process that
// exceeds its machine's memory is killed and started again, as the platform does.
func memTurn(w *world) (bool, error) {
	var engines []engineConfig
	for i := range homeEngines {
		engines = append(engines, engineConfig{
			ID: fmt.Sprintf("i-model%d", i), Service: "huvo11a", Zone: zoneOf(i), Version: "v1", Slots: homeSlots,
			Gap: bigGap, Events: turnEvents, Streams: []string{"/lohu930/"},
		})
	}
	var names []string
	for i := range crowdFronts {
		names = append(names, fmt.Sprintf("front-%d", i+1))
	}
	routes, services := turnRoute(crowdDeadline)
	if err := w.setUp(routes, services, engines, names); err != nil {
		return false, err
	}
	size := smallBytes
	if w.trouble {
		size = crowdBytes
	}
	ends := make([]int, crowdFronts)
	stop := make(chan struct{})
	var watches, clients sync.WaitGroup
	for i, f := range w.fronts {
		watches.Go(func() { ends[i] = w.watchMemory(f, stop) })
	}
	begin := time.Now()
	body := bytes.Repeat([]byte("line of text 16\n"), size/16)
	for i := range crowdFronts * crowdClients {
		clients.Go(func() {
			for time.Since(begin) < crowdTime {
				id := newID()
				a := w.sendTurn(w.fronts[i%crowdFronts], id, body, crowdDeadline)
				w.note("client %d: turn %s of %d bytes: %s", i, id, len(body), a)
				time.Sleep(crowdPause)
			}
		})
	}
	clients.Wait()
	close(stop)
	watches.Wait()
	machines := 0
	for i, n := range ends {
		w.note("%s ended %d times for its memory", w.fronts[i].name, n)
		if n >= endsToCount {
			machines++
		}
	}
	return machines >= machinesToCount, nil
}

// watchMemory kills the process whenever it exceeds the memory of its machine, and starts it
// again after a short delay. It returns how often.
func (w *world) watchMemory(f *front, stop <-chan struct{}) int {
	ends, peak := 0, 0
	for {
		select {
		case <-stop:
			w.note("%s had at most %d MB of %d", f.name, peak, memoryMB)
			return ends
		case <-time.After(memoryLook):
		}
		resident := f.residentMB()
		peak = max(peak, resident)
		if resident <= memoryMB {
			continue
		}
		w.note("%s has %d MB of %d and is killed", f.name, resident, memoryMB)
		f.kill()
		ends++
		time.Sleep(restartWait)
		if err := f.start(false); err != nil {
			w.note("%s: %v", f.name, err)
			return ends
		}
	}
}

// residentMB returns the resident memory of the process, or 0 if it has ended.
func (f *front) residentMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kilobytes >> 10
		}
	}
	return 0
}

// turnRoute returns a route whose turns are kept, and its service.
func turnRoute(timeout time.Duration) (routes, services []map[string]any) {
	routes = []map[string]any{{
		"name": "r-lohu", "host": routeHost, "prefix": "/lohu930/", "route_kind": "streaming", "timeout_ms": timeout.Milliseconds(),
		"goal_ms": 250, "priority": 1, "service": "huvo11a", "max_attempts": 1, "retain": true, "retain_s": 60, "keyless": false,
		"sticky": true, "can_resume": false, "gap_target_ms": 300,
	}}
	services = []map[string]any{{
		"name": "huvo11a", "health_path": "/health", "max_conns": 240, "cold_s": 0, "cold_per_s": 0,
		"engine": map[string]any{"slots": homeSlots, "kv_capacity": 983462, "stride": turnStride, "models": []map[string]any{{"name": "m"}}},
	}}
	return routes, services
}

// sendTurn sends the first turn of a program of its own.
func (w *world) sendTurn(f *front, id string, body []byte, deadline time.Duration) answer {
	conn, err := dialClient(f.caller)
	if err != nil {
		return answer{sentAt: time.Now()}.fail(err)
	}
	defer conn.Close()
	tokens := len(body) / 4
	return conn.do(call{
		ID: id, Method: "POST", Path: "/lohu930/4b", Host: routeHost, Deadline: deadline, Body: body,
		Header: map[string]string{
			"Authorization": "Bearer " + apiKey, "X-Model": "m", "X-Program-Id": "p-" + id, "X-Session-Id": "p-" + id,
			"X-Program-Deadline-Ms": "20000", "X-Token-Budget": strconv.Itoa(programBudget),
			"X-Token-Count": fmt.Sprintf("%d,%d", tokens, turnMost), "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:%d", tokens),
		},
	})
}
