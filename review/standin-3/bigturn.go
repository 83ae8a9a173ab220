package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

const (
	bigTimeout  = 2 * time.Second
	bigDeadline = 5 * time.Second
	bigGap      = 20 * time.Millisecond
	bigClients  = 4
	bigTurns    = 3
	// bigBytes is below max_body_bytes and above what one call of the store holds.
	bigBytes   = 1_200_000
	smallBytes = 20_000
	// lateAfter is how long after the route's timeout the final answer may come.
	lateAfter = 500 * time.Millisecond
	lateLimit = 8
)

// bigTurn sends turns whose input is large, but within the limit on bodies.
func bigTurn(w *world) (bool, error) {
	var engines []engineConfig
	for i := range 3 {
		engines = append(engines, engineConfig{
			ID: fmt.Sprintf("i-model%d", i), Service: "huvo11a", Zone: zoneOf(i), Version: "v1", Slots: homeSlots,
			Gap: bigGap, Events: turnEvents, Streams: []string{"/lohu930/"},
		})
	}
	routes, services := turnRoute(bigTimeout)
	if err := w.setUp(routes, services, engines, []string{"front-1", "front-2"}); err != nil {
		return false, err
	}
	size := smallBytes
	if w.trouble {
		size = bigBytes
	}
	body := bytes.Repeat([]byte("line of text 16\n"), size/16)
	var clients sync.WaitGroup
	var mu sync.Mutex
	asked, late := 0, 0
	for i := range bigClients {
		clients.Go(func() {
			for range bigTurns {
				id := newID()
				a := w.sendTurn(w.fronts[i%len(w.fronts)], id, body, bigDeadline)
				final := a.whole && a.endedAt.Sub(a.sentAt) <= bigTimeout+lateAfter
				w.note("client %d: turn %s of %d bytes, reached %q, final answer in time %v: %s", i, id, len(body), w.ranAt(id), final, a)
				mu.Lock()
				asked++
				if !final {
					late++
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	w.noteRuns()
	w.note("%d turns; %d had no final answer %s after the route's timeout; the store refused %d calls as too large", asked, late, lateAfter, w.store.tooLarge)
	return late >= lateLimit && 4*late > asked, nil
}
