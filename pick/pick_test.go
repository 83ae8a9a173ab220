package pick_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/pick"
	"github.com/buckthorntide/buckthorntide/site"
)

const slots = 8

func newView(n int, change func(us []*site.Upstream)) *site.View {
	us := make([]*site.Upstream, n)
	for i := range us {
		us[i] = &site.Upstream{ID: fmt.Sprintf("i-%d", i), Service: "m", Slots: slots, FailureDomain: string(rune('a' + i%3))}
	}
	if change != nil {
		change(us)
	}
	return site.NewView(nil, us, map[string]bool{"c": true})
}

func TestEligibleUpstreams(t *testing.T) {
	tests := []struct {
		name   string
		change func(us []*site.Upstream)
		before func(p *pick.Picker)
		cold   bool
		want   string
	}{
		{name: "domain out, draining and tried", change: func(us []*site.Upstream) { us[0].State = site.Draining }, want: ""},
		{name: "sound", want: "i-0"},
		{name: "cold without allowance", change: func(us []*site.Upstream) { us[0].ColdUntil = time.Hour }, want: ""},
		{name: "cold with allowance", change: func(us []*site.Upstream) { us[0].ColdUntil = time.Hour }, cold: true, want: "i-0"},
		{
			name:   "ejected if there is no other",
			before: func(p *pick.Picker) { p.Done("i-0", pick.Moved, time.Minute) },
			want:   "i-0",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := pick.NewPicker()
			if tt.before != nil {
				tt.before(p)
			}
			u := p.Pick(newView(3, tt.change), pick.Request{
				Service: "m", Now: time.Minute, Tried: []string{"i-1"}, Cold: func(*site.Upstream) bool { return tt.cold },
			})
			if tt.want == "" {
				assert.Assert(t, u == nil)
				return
			}
			assert.Equal(t, u.ID, tt.want)
		})
	}
}

// Instances that share no state choose the same upstream for a program.
func TestInstancesChooseSameUpstreamForProgram(t *testing.T) {
	view := newView(9, nil)
	different := 0
	for i := range 200 {
		need := pick.Request{Service: "m", Program: fmt.Sprintf("p%d", i), Now: time.Minute}
		a, b := pick.NewPicker().Pick(view, need), pick.NewPicker().Pick(view, need)
		if a.ID != b.ID {
			different++
		}
	}
	assert.Equal(t, different, 0)
}

// Programs that moved to the emptiest upstream, or after one broken answer,
// recomputed their prompts at each turn, which kept the upstreams overloaded
// permanently.
func TestProgramStaysAtItsCachedPrompt(t *testing.T) {
	tests := []struct {
		name   string
		load   pick.Load
		broken int
		stays  bool
	}{
		{name: "upstream is idle", stays: true},
		{name: "the batch is nearly full", load: pick.Load{Running: slots - 1, Slots: slots}, stays: true},
		{name: "requests wait", load: pick.Load{Running: slots, Waiting: slots, Slots: slots}},
		{name: "one broken answer", broken: 1, stays: true},
		{name: "consecutive broken answers", broken: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := pick.NewPicker()
			view := newView(9, nil)
			need := pick.Request{Service: "m", Program: "p", Now: time.Minute}
			first := p.Pick(view, need)
			p.Done(first.ID, pick.Answered, need.Now)
			if tt.load.Slots > 0 {
				p.ReportLoad(first.ID, tt.load, need.Now)
			}
			for range tt.broken {
				p.Done(first.ID, pick.Broken, need.Now)
			}
			need.Now += 100 * time.Millisecond
			assert.Equal(t, p.Pick(view, need).ID == first.ID, tt.stays)
		})
	}
}

func TestNewProgramsBalanceUnderLoad(t *testing.T) {
	p := pick.NewPicker()
	view := newView(9, func(us []*site.Upstream) {
		for _, u := range us {
			u.FailureDomain = "a"
		}
	})
	counts := make(map[string]int)
	for i := range 9 * slots {
		counts[p.Pick(view, pick.Request{Service: "m", Program: fmt.Sprintf("p%d", i), Now: time.Minute}).ID]++
	}
	for id, n := range counts {
		assert.Assert(t, n <= slots+3, "%s has %d", id, n)
	}
}

// One of three upstreams fails two in five requests while its health check
// passes, by an error or by silence. Each instance must detect it on its own
// and send it little.
func TestFailingUpstreamIsEjected(t *testing.T) {
	const (
		instances = 11
		requests  = 6 * 3 * 10 // 10 s at 6 requests/s for each upstream
		interval  = 10 * time.Second / requests
		maxShare  = 0.05
	)
	tests := []struct {
		name string
		fail func(p *pick.Picker, view *site.View, upstream string, now time.Duration)
	}{
		{"failed", func(p *pick.Picker, _ *site.View, upstream string, now time.Duration) {
			p.Done(upstream, pick.Failed, now)
		}},
		{"silent", func(p *pick.Picker, view *site.View, upstream string, now time.Duration) {
			p.ReportStalled(view, "m", upstream, nil, now)
			p.Done(upstream, pick.Abandoned, now)
		}},
		{"broken", func(p *pick.Picker, _ *site.View, upstream string, now time.Duration) {
			p.Done(upstream, pick.Broken, now)
		}},
	}
	for i, tt := range tests {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		view := newView(3, func(us []*site.Upstream) {
			for _, u := range us {
				u.FailureDomain = "a"
			}
		})
		failed := 0
		for range instances {
			p := pick.NewPicker()
			for i := range requests {
				now := time.Minute + time.Duration(i)*interval
				u := p.Pick(view, pick.Request{Service: "m", Object: fmt.Sprintf("o%d", random.IntN(1000)), Now: now})
				if u.ID == "i-0" && random.Float64() < 0.4 {
					tt.fail(p, view, u.ID, now)
					failed++
					continue
				}
				p.Done(u.ID, pick.Answered, now)
			}
		}
		share := float64(failed) / (instances * requests)
		assert.Assert(t, share < maxShare, "%s: a share of %.3f failed", tt.name, share)
	}
}

// A request may leave a silent upstream only if most others respond: where all
// are slow, moving it would run it twice for nothing.
func TestSilentUpstreamIsLeftForHealthyOnes(t *testing.T) {
	tests := []struct {
		name     string
		slow     []string
		versions []string
		leaving  int
		leave    bool
	}{
		{name: "one of three is silent", slow: []string{"i-0"}, leave: true},
		{name: "two of three are silent", slow: []string{"i-1", "i-0"}},
		{name: "one of three is silent, one of two of its version", slow: []string{"i-0"}, versions: []string{"v1"}},
		{name: "one of three is silent, all are of the versions", slow: []string{"i-0"}, versions: []string{"v1", "v2"}, leave: true},
		{name: "one is silent, one of the others shuts down", slow: []string{"i-0"}, leaving: 1},
		{name: "one is silent, the others shut down", slow: []string{"i-0"}, leaving: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := pick.NewPicker()
			view := newView(3, func(us []*site.Upstream) {
				for _, u := range us {
					u.FailureDomain, u.SoftwareVersion = "a", "v1"
				}
				us[2].SoftwareVersion = "v2"
			})
			for _, u := range view.Pool("m")[len(view.Pool("m"))-tt.leaving:] {
				assert.Assert(t, p.ReportLeaving(u, time.Minute))
			}
			leave := false
			for _, id := range tt.slow {
				assert.Assert(t, !p.ReportStalled(view, "m", id, tt.versions, time.Minute), "one silent request ejects nothing")
				leave = p.ReportStalled(view, "m", id, tt.versions, time.Minute)
			}
			assert.Equal(t, leave, tt.leave)
		})
	}
}

// A service that fails one in fifty requests everywhere causes no ejections.
func TestRareFailuresDontEject(t *testing.T) {
	p := pick.NewPicker()
	view := newView(2, nil)
	for i := range 500 {
		now := time.Minute + time.Duration(i)*50*time.Millisecond
		u := p.Pick(view, pick.Request{Service: "m", Object: "o", Now: now})
		assert.Equal(t, p.State(u, now).EjectedForMs, int64(0))
		outcome := pick.Answered
		if i%50 == 0 {
			outcome = pick.Failed
		}
		p.Done(u.ID, outcome, now)
	}
}

// A request that only one software version can serve goes nowhere else, also if
// the upstreams of that version are full or ejected.
func TestUpstreamHasAnAllowedVersion(t *testing.T) {
	tests := []struct {
		name     string
		versions []string
		tried    []string
		want     []string
	}{
		{name: "any", want: []string{"i-0", "i-1", "i-2"}},
		{name: "one", versions: []string{"v1"}, want: []string{"i-0", "i-2"}},
		{name: "two", versions: []string{"v1", "v2"}, want: []string{"i-0", "i-1", "i-2"}},
		{name: "none", versions: []string{}},
		{name: "one, of which all were tried", versions: []string{"v1"}, tried: []string{"i-0", "i-2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := pick.NewPicker()
			p.Done("i-2", pick.Unreachable, 59*time.Second)
			view := newView(3, func(us []*site.Upstream) {
				for i, u := range us {
					u.FailureDomain, u.SoftwareVersion = "a", []string{"v1", "v2", "v1"}[i]
				}
			})
			got := make(map[string]bool)
			for range 4 * slots {
				if u := p.Pick(view, pick.Request{Service: "m", Tried: tt.tried, Versions: tt.versions, Now: time.Minute}); u != nil {
					got[u.ID] = true
				}
			}
			assert.DeepEqual(t, slices.Sorted(maps.Keys(got)), tt.want)
		})
	}
}

// Records of upstreams that are gone accumulated for as long as the instance ran,
// where each start of an upstream has a new ID.
func TestUpstreamsThatAreGoneAreForgotten(t *testing.T) {
	const (
		starts = 20_000
		later  = time.Minute + time.Hour
	)
	tests := []struct {
		name   string
		listed bool
		busy   bool
		recent bool
		want   int
	}{
		{name: "gone"},
		{name: "gone a moment ago", recent: true, want: 1},
		{name: "listed", listed: true, want: 1},
		{name: "a request is in flight", busy: true, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := pick.NewPicker()
			before := newView(1, nil)
			first := before.Pool("m")[0]
			request := pick.Request{Service: "m", Now: time.Minute}
			p.Pick(before, request)
			if tt.recent {
				request.Now = later - time.Second
			}
			p.Done(first.ID, pick.Broken, request.Now)
			if tt.busy {
				p.Pick(before, request)
			}
			request.Now = later
			for i := range starts {
				view := newView(2, func(us []*site.Upstream) {
					us[0].Service, us[1].ID = "other", fmt.Sprintf("next-%d", i)
					if !tt.listed {
						us[0].ID = us[1].ID
					}
				})
				p.Done(p.Pick(view, request).ID, pick.Answered, request.Now)
			}
			assert.Equal(t, p.State(first, request.Now).Failures, tt.want)
		})
	}
}
