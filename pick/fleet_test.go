package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/pick"
	"github.com/buckthorntide/buckthorntide/site"
)

const (
	// The load that the test answers: many instances that each send few requests,
	// and upstreams whose pace differs and changes every 50 ms.
	fleetInstances = 77
	fleetUpstreams = 56
	fleetSlots     = 12
	fleetRate      = 1350.0 // requests a second over all instances, 60 % of what the upstreams bear
	fleetWork      = 200 * time.Millisecond
	fleetTick      = 5 * time.Millisecond
	paceTick       = 50 * time.Millisecond
	lowestPace     = 50
	highestPace    = 300
	paceJitter     = 40
	fleetWarmUp    = 28 * time.Second // an instance has an answer of each upstream every 2 to 3 s
	fleetDuration  = 40 * time.Second
	shareWindow    = 500 * time.Millisecond
)

type (
	fleetRequest struct {
		instance int
		came     time.Duration
		left     time.Duration
	}

	fleetUpstream struct {
		entry    *site.Upstream
		usual    int
		pace     int
		running  []*fleetRequest
		waiting  []*fleetRequest
		inWindow int
	}

	fleetResult struct {
		mean time.Duration
		// largestShare is the largest one of an upstream in a window.
		largestShare float64
		finished     int
	}
)

// runFleet simulates the load on a clock of its own. Without paced, upstreams leave
// their pace out, and instances choose as they did before paces were read.
func runFleet(seed uint64, paced bool, name func(random *rand.Rand, req *pick.Request)) fleetResult {
	random := rand.New(rand.NewPCG(seed, 1))
	upstreams := make(map[string]*fleetUpstream)
	entries := make([]*site.Upstream, 0, fleetUpstreams)
	for i := range fleetUpstreams {
		u := &site.Upstream{ID: fmt.Sprintf("i-%d", i), Service: "m", Slots: fleetSlots, FailureDomain: "a"}
		entries = append(entries, u)
		usual := lowestPace + paceJitter + random.IntN(highestPace-lowestPace-2*paceJitter+1)
		upstreams[u.ID] = &fleetUpstream{entry: u, usual: usual, pace: usual}
	}
	view := site.NewView(nil, entries, nil)
	pickers := make([]*pick.Picker, fleetInstances)
	for i := range pickers {
		pickers[i] = pick.NewPicker()
	}
	var result fleetResult
	var sum time.Duration
	sent := 0
	start := time.Minute
	arrival := start
	for now := start; now < start+fleetDuration; now += fleetTick {
		if (now-start)%paceTick == 0 {
			for _, u := range entries {
				s := upstreams[u.ID]
				s.pace = s.usual - paceJitter + random.IntN(2*paceJitter+1)
			}
		}
		if (now-start)%shareWindow == 0 {
			for _, u := range entries {
				s := upstreams[u.ID]
				if now-start > fleetWarmUp {
					result.largestShare = max(result.largestShare, float64(s.inWindow)/float64(max(1, sent)))
				}
				s.inWindow = 0
			}
			sent = 0
		}
		for ; arrival < now+fleetTick; arrival += time.Duration(random.ExpFloat64() / fleetRate * float64(time.Second)) {
			instance := random.IntN(fleetInstances)
			req := pick.Request{Service: "m", Domain: "a", Now: arrival}
			name(random, &req)
			s := upstreams[pickers[instance].Pick(view, req).ID]
			s.waiting = append(s.waiting, &fleetRequest{instance: instance, came: arrival, left: fleetWork})
			s.inWindow++
			sent++
		}
		for _, u := range entries {
			s := upstreams[u.ID]
			for len(s.waiting) > 0 && len(s.running) < fleetSlots {
				s.running, s.waiting = append(s.running, s.waiting[0]), s.waiting[1:]
			}
			load := pick.Load{Running: len(s.running), Waiting: len(s.waiting), Slots: fleetSlots}
			if paced {
				load.Pace = s.pace
			}
			end := now + fleetTick
			var unfinished []*fleetRequest
			for _, r := range s.running {
				r.left -= fleetTick * 100 / time.Duration(s.pace)
				if r.left > 0 {
					unfinished = append(unfinished, r)
					continue
				}
				pickers[r.instance].ReportLoad(u.ID, load, end)
				pickers[r.instance].Done(u.ID, pick.Answered, end)
				if r.came-start > fleetWarmUp {
					sum += end - r.came
					result.finished++
				}
			}
			s.running = unfinished
		}
	}
	result.mean = sum / time.Duration(result.finished)
	return result
}

// Instances that see few requests counted a busy slot of a slow machine like that
// of a fast one and sent both the same number of requests, so that slow machines
// queued while fast ones idled.
func TestPacesShortenTheTimeToFinish(t *testing.T) {
	const (
		// maxShare is a tenth of all requests, where the fastest upstream's share of
		// what all bear is about 0.035.
		maxShare = 0.1
		// maxRatio is the mean time to finish as a multiple of that without paces.
		maxRatio = 0.95
	)
	// A third of the requests each names a program, an object and nothing.
	load := func(random *rand.Rand, req *pick.Request) {
		switch random.IntN(3) {
		case 0:
			req.Program = fmt.Sprint("p", random.IntN(5000))
		case 1:
			req.Object = fmt.Sprint("o", random.IntN(5000))
		}
	}
	without, with := runFleet(1, false, load), runFleet(1, true, load)
	t.Logf("without paces: mean %v, largest share %.3f, %d finished", without.mean, without.largestShare, without.finished)
	t.Logf("with paces: mean %v, largest share %.3f, %d finished", with.mean, with.largestShare, with.finished)
	assert.Check(t, with.largestShare <= maxShare)
	assert.Check(t, float64(with.mean) <= maxRatio*float64(without.mean))
}

// Instances that have the same figures, one upstream being slightly faster, must not
// all send their next request to it.
func TestInstancesWithTheSameFiguresSpread(t *testing.T) {
	const (
		instances = fleetInstances
		maxShare  = 0.3
	)
	view := newView(9, func(us []*site.Upstream) {
		for _, u := range us {
			u.FailureDomain = "a"
		}
	})
	tests := []struct {
		name string
		load func(i int) pick.Load
	}{
		{name: "idle", load: func(i int) pick.Load { return pick.Load{Slots: slots, Pace: 100 + i} }},
		{name: "busy", load: func(i int) pick.Load { return pick.Load{Running: slots / 2, Slots: slots, Pace: 100 + i} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			counts := make(map[string]int)
			for instance := range instances {
				p := pick.NewPicker()
				now := time.Minute + time.Duration(instance)*time.Millisecond
				for i, u := range view.Pool("m") {
					p.ReportLoad(u.ID, tt.load(i), now)
				}
				counts[p.Pick(view, pick.Request{Service: "m", Now: now}).ID]++
			}
			for id, n := range counts {
				assert.Check(t, float64(n) <= maxShare*instances, "%s has %d of %d", id, n, instances)
			}
		})
	}
}

// Idle upstreams have the same fill, so that a slow one got as many requests as a
// fast one, also while an instance had no recent figure.
func TestIdleUpstreamsAreChosenBySpeed(t *testing.T) {
	const picks = 3000
	tests := []struct {
		name  string
		later time.Duration
	}{
		{name: "recent figure"},
		{name: "expired figure", later: time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			view := newView(9, func(us []*site.Upstream) {
				for _, u := range us {
					u.FailureDomain = "a"
				}
			})
			p := pick.NewPicker()
			now := time.Minute
			for range 300 {
				now += 50 * time.Millisecond
				p.ReportLoad("i-0", pick.Load{Slots: slots, Pace: 400}, now)
			}
			chosen := 0
			for i := range picks {
				at := now + tt.later + time.Duration(i)*10*time.Microsecond
				u := p.Pick(view, pick.Request{Service: "m", Now: at})
				if u.ID == "i-0" {
					chosen++
				}
				p.Done(u.ID, pick.Answered, at)
			}
			// A quarter of the weight of each of the eight others.
			share := float64(chosen) / picks
			assert.Assert(t, share > 0.02 && share < 0.045, "share %.3f", share)
		})
	}
}
