package pick

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntide/buckthorntide/site"
)

// snapshot is a deep copy of a picker's observations.
type snapshot struct {
	records    map[string]record
	affinities map[string]affinity
	sweepSizes [2]int
}

func (p *Picker) snapshot() snapshot {
	s := snapshot{
		records:    make(map[string]record),
		affinities: maps.Clone(p.affinities),
		sweepSizes: [2]int{p.nextSweepSize, p.nextRecordSweepSize},
	}
	for id, r := range p.records {
		copied := *r
		copied.departures = maps.Clone(r.departures)
		s.records[id] = copied
	}
	return s
}

func drawView(t *rapid.T, now time.Duration) *site.View {
	us := make([]*site.Upstream, rapid.IntRange(0, 6).Draw(t, "upstreams"))
	for i := range us {
		us[i] = &site.Upstream{
			ID:              fmt.Sprintf("i-%d", i),
			Service:         rapid.SampledFrom([]string{"m", "m", "m", "other"}).Draw(t, "service"),
			Slots:           rapid.IntRange(0, 4).Draw(t, "slots"),
			FailureDomain:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"),
			SoftwareVersion: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
			State:           rapid.SampledFrom([]site.State{site.Ready, site.Ready, site.Ready, site.Draining}).Draw(t, "state"),
			ColdUntil:       rapid.SampledFrom([]time.Duration{0, 0, now + time.Second}).Draw(t, "coldUntil"),
			Incarnation:     rapid.Int64Range(0, 2).Draw(t, "incarnation"),
		}
	}
	excluded := map[string]bool{rapid.SampledFrom([]string{"c", "none"}).Draw(t, "excluded"): true}
	return site.NewView(nil, us, excluded)
}

func drawRequest(t *rapid.T, now time.Duration) Request {
	warms := rapid.SampledFrom([]string{"", "i-0", "i-1", "i-2"}).Draw(t, "coldAllowed")
	return Request{
		Service:  "m",
		Program:  rapid.SampledFrom([]string{"", "p", "q"}).Draw(t, "program"),
		Object:   rapid.SampledFrom([]string{"", "o"}).Draw(t, "object"),
		Domain:   "a",
		Tried:    rapid.SampledFrom([][]string{nil, nil, {"i-0"}}).Draw(t, "tried"),
		Versions: rapid.SampledFrom([][]string{nil, nil, {"v1"}, {}}).Draw(t, "versions"),
		Cold:     func(u *site.Upstream) bool { return u.ID == warms },
		Now:      now,
	}
}

// event changes the picker's observations of one upstream.
func event(t *rapid.T, p *Picker, view *site.View, now time.Duration) {
	id := fmt.Sprintf("i-%d", rapid.IntRange(0, 5).Draw(t, "id"))
	switch rapid.IntRange(0, 3).Draw(t, "event") {
	case 0:
		p.Done(id, Outcome(rapid.IntRange(int(Answered), int(Abandoned)).Draw(t, "outcome")), now)
	case 1:
		p.ReportLoad(id, Load{Running: rapid.IntRange(0, 8).Draw(t, "running"), Waiting: rapid.IntRange(0, 4).Draw(t, "waiting"), Slots: 4}, now)
	case 2:
		p.ReportStalled(view, "m", id, nil, now)
	default:
		if u := view.Upstream("m", id); u != nil && rapid.IntRange(0, 3).Draw(t, "leaves") == 0 {
			p.ReportLeaving(u, now)
		}
	}
}

// Guards against an explanation that names another upstream than the Pick after it,
// that disagrees with itself, or that changes what later requests are sent to.
func TestExplanationEqualsTheChoiceAndChangesNothing(t *testing.T) {
	reasons := make(map[Reason]int)
	rapid.Check(t, func(t *rapid.T) {
		p := NewPicker()
		now := time.Minute
		view := drawView(t, now)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "elapsedMs")) * time.Millisecond
			if rapid.IntRange(0, 4).Draw(t, "newView") == 0 {
				view = drawView(t, now)
			}
			event(t, p, view, now)
			req := drawRequest(t, now)
			before := p.snapshot()
			e := p.Explain(view, req)
			assert.Assert(t, reflect.DeepEqual(before, p.snapshot()), "the explanation changed the picker")
			checkExplanation(t, e, view, req)
			reasons[e.Reason]++
			assert.Equal(t, p.Pick(view, req), e.Choice)
		}
	})
	for _, reason := range []Reason{NotChosen, LastUpstream, Rendezvous, Emptiest, NothingElseLeft} {
		assert.Assert(t, reasons[reason] > 0, "the random requests never had the reason %q", reason)
	}
}

// checkExplanation compares the upstreams with the choice: one is eligible if and only if
// nothing excludes it.
func checkExplanation(t *rapid.T, e Explanation, view *site.View, req Request) {
	assert.Equal(t, len(e.Upstreams), len(view.Pool(req.Service)))
	assert.Equal(t, e.Choice == nil, e.Reason == NotChosen)
	free := 0
	for _, a := range e.Upstreams {
		assert.Assert(t, !slices.Contains(a.Exclusions, ExcludedOther), "%s is excluded for an unnamed reason", a.Upstream.ID)
		if len(a.Exclusions) == 0 {
			free++
		}
		if a.Upstream != e.Choice || len(a.Exclusions) == 0 {
			continue
		}
		assert.DeepEqual(t, a.Exclusions, []Exclusion{ExcludedEjected})
		assert.Equal(t, e.Reason, NothingElseLeft)
	}
	if free > 0 {
		assert.Assert(t, e.Choice != nil, "%d upstreams are eligible", free)
	}
	if free > 1 && e.Reason == NothingElseLeft {
		t.Fatalf("%d upstreams are eligible, but the reason is %q", free, e.Reason)
	}
}

// Guards against an exclusion that is left out or told under another name.
func TestExplanationNamesExclusions(t *testing.T) {
	const now = time.Minute
	tests := []struct {
		name   string
		change func(u *site.Upstream)
		before func(p *Picker, u *site.Upstream)
		tried  []string
		want   []Exclusion
	}{
		{name: "sound", want: []Exclusion{}},
		{name: "draining", change: func(u *site.Upstream) { u.State = site.Draining }, want: []Exclusion{ExcludedDraining}},
		{name: "leaving", before: func(p *Picker, u *site.Upstream) { p.ReportLeaving(u, now) }, want: []Exclusion{ExcludedLeaving}},
		{name: "failure domain out", change: func(u *site.Upstream) { u.FailureDomain = "out" }, want: []Exclusion{ExcludedDomain}},
		{name: "version", change: func(u *site.Upstream) { u.SoftwareVersion = "v2" }, want: []Exclusion{ExcludedVersion}},
		{name: "tried", tried: []string{"i-0"}, want: []Exclusion{ExcludedTried}},
		{name: "ejected", before: func(p *Picker, u *site.Upstream) { p.Done(u.ID, Moved, now) }, want: []Exclusion{ExcludedEjected}},
		{name: "cold", change: func(u *site.Upstream) { u.ColdUntil = now + time.Second }, want: []Exclusion{ExcludedColdAllowance}},
		{
			name: "several",
			change: func(u *site.Upstream) {
				u.State, u.FailureDomain = site.Draining, "out"
			},
			want: []Exclusion{ExcludedDraining, ExcludedDomain},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := &site.Upstream{ID: "i-0", Service: "m", Slots: 1, SoftwareVersion: "v1", Incarnation: 1}
			if tt.change != nil {
				tt.change(u)
			}
			p := NewPicker()
			if tt.before != nil {
				tt.before(p, u)
			}
			e := p.Explain(site.NewView(nil, []*site.Upstream{u}, map[string]bool{"out": true}), Request{
				Service: "m", Versions: []string{"v1"}, Tried: tt.tried, Cold: func(*site.Upstream) bool { return false }, Now: now,
			})
			assert.DeepEqual(t, e.Upstreams[0].Exclusions, tt.want)
		})
	}
}
