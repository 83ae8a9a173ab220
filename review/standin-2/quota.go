package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["quota"] = quota }

const (
	quotaRate  = 20.0
	quotaBurst = 300.0
)

// quota has one tenant that sends many times its usual after it was idle. It is no case of the
// review, see REPORT-2.md.
func quota(f *fleet) {
	f.store.put("op", "config", config(7, quotaRate, quotaBurst))
	for i := range 3 {
		e := f.newEngine(fmt.Sprintf("i-c%d", i), "core", "v1")
		e.work = 2 * time.Millisecond
		f.engines = append(f.engines, e)
		e.start()
	}
	for _, name := range []string{"front-a-1", "front-b-1", "front-c-1", "front-d-1"} {
		f.addFront(name, "z1")
	}
	f.startFronts()
	time.Sleep(12 * time.Second)
	var mu sync.Mutex
	var ran []time.Time
	end := time.Now().Add(8 * time.Second)
	clients, pause := 24, 15*time.Millisecond
	if !f.trouble {
		clients, pause = 1, 50*time.Millisecond
	}
	var w sync.WaitGroup
	for i := range clients {
		w.Go(func() {
			c := newClient()
			for n := 0; time.Now().Before(end); n++ {
				sent := time.Now()
				if f.book(c, f.fronts[(i+n)%4]) {
					mu.Lock()
					// It arrived before it was answered.
					ran = append(ran, sent, time.Now())
					mu.Unlock()
				}
				time.Sleep(pause)
			}
		})
	}
	w.Wait()
	most := 0
	for i := 0; i < len(ran); i += 2 {
		n := 0
		for j := 0; j < len(ran); j += 2 {
			if !ran[j].Before(ran[i]) && ran[j+1].Sub(ran[i]) <= 5*time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	limit := (quotaRate*5+quotaBurst)*1.1 + 20
	verdict := fmt.Sprintf("%d requests ran that were sent and answered within 5 s; the bound is %.0f", most, limit)
	if float64(most) > limit {
		f.end(1, "QUOTA: "+verdict)
	}
	f.end(0, "held: "+verdict)
}

// book sends one unsafe request and reports whether it was answered by an engine.
func (f *fleet) book(c *http.Client, p *front) bool {
	id := newID()
	req, err := http.NewRequest(http.MethodPost, "http://"+p.address+"/book/1", strings.NewReader("book "+id))
	check(err)
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "1500")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get("X-Server-Seal") != ""
}
