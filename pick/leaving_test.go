package pick_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/pick"
	"github.com/buckthorntide/buckthorntide/site"
)

// Requests went on to an upstream that had announced its shutdown, as long as its
// entry said ready.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	tests := []struct {
		name string
		// leaving are the incarnations that announced their shutdown, in order;
		// listed is the one of the entry.
		leaving []int64
		listed  int64
		after   time.Duration
		before  func(p *pick.Picker)
		request pick.Request
		want    bool
	}{
		{name: "sound", listed: 1, want: true},
		{name: "leaving", leaving: []int64{1}, listed: 1},
		{name: "leaving for long", leaving: []int64{1}, listed: 1, after: time.Hour},
		{name: "the program ran there", leaving: []int64{1}, listed: 1, request: pick.Request{Program: "p"}},
		{name: "it holds the object", leaving: []int64{1}, listed: 1, request: pick.Request{Object: "o"}},
		{name: "retry", leaving: []int64{1}, listed: 1, request: pick.Request{Tried: []string{"i-1"}}},
		{name: "ejected as well", leaving: []int64{1}, listed: 1, before: func(p *pick.Picker) { p.Done("i-0", pick.Moved, time.Minute) }},
		{name: "cold as well", leaving: []int64{1}, listed: 1, request: pick.Request{Cold: func(*site.Upstream) bool { return true }}},
		{name: "new process", leaving: []int64{1}, listed: 2, want: true},
		{name: "new process that leaves too", leaving: []int64{1, 2}, listed: 2},
		{name: "late answer of the process before", leaving: []int64{2, 1}, listed: 2},
		{name: "unknown process", leaving: []int64{0}, listed: 0, after: 30 * time.Second},
		{name: "unknown process, long after", leaving: []int64{0}, listed: 0, after: 2 * time.Minute, want: true},
		{name: "process that was unknown before", leaving: []int64{0}, listed: 1, after: 30 * time.Second},
		{name: "process that was unknown before, long after", leaving: []int64{0}, listed: 1, after: 2 * time.Minute, want: true},
		{name: "process that is not known any more", leaving: []int64{1}, listed: 0, after: 30 * time.Second},
		{name: "process that is not known any more, long after", leaving: []int64{1}, listed: 0, after: 2 * time.Minute, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := pick.NewPicker()
			pool := func(incarnation int64) *site.View {
				return newView(1, func(us []*site.Upstream) {
					us[0].Incarnation = incarnation
					if tt.request.Cold != nil {
						us[0].ColdUntil = 2 * time.Minute
					}
				})
			}
			request := tt.request
			request.Service, request.Now = "m", time.Minute
			u := p.Pick(pool(tt.listed), request)
			p.Done(u.ID, pick.Answered, request.Now)
			if tt.before != nil {
				tt.before(p)
			}
			for _, incarnation := range tt.leaving {
				u := pool(incarnation).Pool("m")[0]
				assert.Assert(t, p.ReportLeaving(u, request.Now), "the first announcement is news")
				assert.Assert(t, !p.ReportLeaving(u, request.Now), "the second one is not")
			}
			request.Now += tt.after
			// An entry that vanishes for a while changes nothing.
			assert.Assert(t, p.Pick(newView(0, nil), request) == nil)
			listed := pool(tt.listed)
			assert.Equal(t, p.State(listed.Pool("m")[0], request.Now).Leaving, !tt.want)
			assert.Equal(t, p.Pick(listed, request) != nil, tt.want)
		})
	}
}
