package pick

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/site"
)

// unweighted is the policy before sizes and paces: fill is the share of busy slots,
// names are hashed without weights, and only equal fills are ties.
type unweighted struct{ picker *Picker }

func (w unweighted) choose(view *site.View, req Request) string {
	candidates := w.picker.candidates(view, req, false)
	if len(candidates) == 0 {
		candidates = w.picker.candidates(view, req, true)
	}
	if len(candidates) == 0 {
		return ""
	}
	sum := 0.0
	for i, c := range candidates {
		r := w.picker.records[c.upstream.ID]
		busy := r.inFlight
		if r.loadAt > 0 && req.Now-r.loadAt < 800*time.Millisecond {
			busy = max(busy, r.load.Running+r.load.Waiting+r.inFlight-r.inFlightAtLoad)
		}
		candidates[i].fill = float64(busy) / float64(max(1, c.upstream.Slots))
		sum += candidates[i].fill
	}
	return candidates[w.index(candidates, sum/float64(len(candidates)), req)].upstream.ID
}

func (w unweighted) index(candidates []candidate, mean float64, req Request) int {
	lowest := 0
	salt := req.Program + req.Object + req.Domain + strconv.FormatInt(int64(req.Now), 10)
	for i := 1; i < len(candidates); i++ {
		if w.better(candidates[i], candidates[lowest], req.Domain, salt) {
			lowest = i
		}
	}
	switch {
	case req.Program != "":
		last := w.picker.lastUpstream(req.Program, req.Now)
		i := slices.IndexFunc(candidates, func(c candidate) bool { return c.upstream.ID == last })
		if i >= 0 && !candidates[i].cold && (candidates[i].fill < 1 || candidates[i].fill <= candidates[lowest].fill+0.5) {
			return i
		}
		limit := max(0.6, 1.25*mean)
		i = w.highest(candidates, req.Program, func(c candidate) bool { return !c.cold && c.fill <= limit })
		if i < 0 {
			return lowest
		}
		return i
	case req.Object != "":
		i := w.highest(candidates, req.Object, func(candidate) bool { return true })
		if !candidates[i].cold && candidates[i].fill <= candidates[lowest].fill+0.34 {
			return i
		}
	}
	return lowest
}

func (unweighted) better(a, b candidate, domain, salt string) bool {
	if a.cold != b.cold {
		return b.cold
	}
	if a.fill != b.fill {
		return a.fill < b.fill
	}
	if aNear, bNear := a.upstream.FailureDomain == domain, b.upstream.FailureDomain == domain; aNear != bNear {
		return aNear
	}
	return common.RendezvousScore(a.upstream.ID, salt) > common.RendezvousScore(b.upstream.ID, salt)
}

func (unweighted) highest(candidates []candidate, name string, fits func(c candidate) bool) int {
	best, highest := -1, uint64(0)
	for i, c := range candidates {
		if !fits(c) {
			continue
		}
		if s := common.RendezvousScore(c.upstream.ID, name); best < 0 || s > highest {
			best, highest = i, s
		}
	}
	return best
}

// Upstreams that report no pace must be picked as before paces were read, and
// programs and objects must stay in place at upstreams of equal size.
func TestPicksWithoutPaceAreUnchanged(t *testing.T) {
	tests := []struct {
		name  string
		slots []int
		// named is set if requests name programs and objects, which are placed by
		// size.
		named bool
	}{
		{name: "equal sizes", slots: []int{8}, named: true},
		{name: "no slots given", slots: []int{0}, named: true},
		{name: "uneven sizes, requests without names", slots: []int{1, 4, 12}},
		{name: "many slots, of which one is less than nearTie", slots: []int{40}},
	}
	const picks = 8000
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			us := make([]*site.Upstream, 12)
			for i := range us {
				us[i] = &site.Upstream{
					ID: fmt.Sprintf("i-%d", i), Service: "m", Slots: tt.slots[i%len(tt.slots)], FailureDomain: string(rune('a' + i%3)),
				}
			}
			us[3].ColdUntil, us[4].ColdUntil = time.Hour, time.Hour
			view := site.NewView(nil, us, nil)
			p := NewPicker()
			var running []string
			for i := range picks {
				now := time.Minute + time.Duration(i)*7*time.Millisecond
				req := Request{Service: "m", Domain: []string{"", "a", "b"}[random.IntN(3)], Now: now}
				switch kind := random.IntN(3); {
				case tt.named && kind == 0:
					req.Program = fmt.Sprint("p", random.IntN(200))
				case tt.named && kind == 1:
					req.Object = fmt.Sprint("o", random.IntN(200))
				}
				want := unweighted{p}.choose(view, req)
				got := p.Pick(view, req)
				assert.Equal(t, got.ID, want, "pick %d", i)
				running = append(running, got.ID)
				for len(running) > 0 && random.IntN(60) < len(running) {
					j := random.IntN(len(running))
					outcome := Answered
					if random.IntN(50) == 0 {
						outcome = Broken
					}
					p.ReportLoad(running[j], Load{Running: random.IntN(9), Waiting: random.IntN(3), Slots: 8}, now)
					p.Done(running[j], outcome, now)
					running = slices.Delete(running, j, j+1)
				}
			}
		})
	}
}

func TestPace(t *testing.T) {
	type report struct {
		at      time.Duration
		percent int
	}
	steady := func(count, percent int, every time.Duration) (reports []report) {
		for i := range count {
			reports = append(reports, report{at: time.Minute + time.Duration(i)*every, percent: percent})
		}
		return reports
	}
	tests := []struct {
		name    string
		reports []report
		// later is when the upstream is looked at, after the last report.
		later    time.Duration
		want     int
		wantFill float64
		wantSize float64
	}{
		{name: "unknown", reports: steady(1, 0, 0), wantFill: 0.5, wantSize: slotsOfPace},
		{name: "negative", reports: steady(1, -200, 0), wantFill: 0.5, wantSize: slotsOfPace},
		{name: "a busy slot counts twice", reports: steady(1, 200, 0), want: 200, wantFill: 1, wantSize: slotsOfPace},
		{name: "clamped above", reports: steady(1, 9999, 0), want: 400, wantFill: 2, wantSize: slotsOfPace},
		{name: "clamped below", reports: steady(1, 1, 0), want: 25, wantFill: 0.125, wantSize: slotsOfPace},
		{
			name:     "smoothed over a second",
			reports:  append(steady(1, 100, 0), report{at: time.Minute + 50*time.Millisecond, percent: 300}),
			want:     110,
			wantFill: 0.549,
			wantSize: slotsOfPace,
		},
		{
			name:     "the last one stays where one is invalid",
			reports:  append(steady(1, 200, 0), report{at: time.Minute + 50*time.Millisecond}),
			want:     200,
			wantFill: 1,
			wantSize: slotsOfPace,
		},
		{name: "expired as the load", reports: steady(1, 200, 0), later: loadTTL, wantSize: slotsOfPace},
		{name: "a burst doesn't change the size", reports: steady(100, 200, 50*time.Millisecond), want: 200, wantFill: 1, wantSize: slotsOfPace},
		{name: "a slow machine is smaller", reports: steady(300, 200, 50*time.Millisecond), want: 200, wantFill: 1, wantSize: slotsOfPace / 2},
		{name: "the size outlasts the load", reports: steady(300, 50, 50*time.Millisecond), later: time.Minute, wantSize: 2 * slotsOfPace},
		{name: "the size expires", reports: steady(300, 50, 50*time.Millisecond), later: recordTTL, wantSize: slotsOfPace},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPicker()
			u := &site.Upstream{ID: "i", Slots: slotsOfPace}
			now := time.Duration(0)
			for _, r := range tt.reports {
				now = r.at
				p.ReportLoad(u.ID, Load{Running: slotsOfPace / 2, Slots: slotsOfPace, Pace: r.percent}, now)
			}
			state := p.State(u, now+tt.later)
			assert.Equal(t, state.Pace, tt.want)
			assert.Assert(t, state.Fill > tt.wantFill-0.001 && state.Fill < tt.wantFill+0.001, "fill %v", state.Fill)
			assert.Assert(t, state.Size > tt.wantSize-0.001 && state.Size < tt.wantSize+0.001, "size %v", state.Size)
		})
	}
}

const slotsOfPace = 12

// A figure that changes many times a second must not change the size often: each
// change moves programs and objects.
func TestSizeFollowsPaceSlowly(t *testing.T) {
	const (
		duration = time.Hour
		// maxChanges is per upstream and hour.
		maxChanges = 4
	)
	for _, every := range []time.Duration{50 * time.Millisecond, 3 * time.Second} {
		random := rand.New(rand.NewPCG(3, uint64(every)))
		for upstream := range 5 {
			var c pace
			changes, last := 0, 1.0
			for now := time.Minute; now < time.Minute+duration; now += every {
				c.report(50+random.IntN(251), now)
				if f := c.longTerm(now); f != last {
					changes, last = changes+1, f
				}
			}
			t.Logf("a report each %v, upstream %d: %d changes, at last %.2f", every, upstream, changes, last)
			assert.Check(t, changes <= maxChanges, "%d changes", changes)
		}
	}
}
