package prog

import (
	"slices"
	"time"
)

const maxRelayed = 64 // turns of a program that other instances may carry

// resume notes a turn that a relaying instance carries: it runs, or its report
// was not kept by the earlier home. The next call waits for it.
func (c *Core) resume(f *family, r *Running, now time.Time) {
	a := f.agent(r.Begin.Program)
	if a == nil || f.team != r.Begin.Team || r.Turn < a.nextTurn() || len(a.relayed) >= maxRelayed {
		return
	}
	f.lastActive = now
	soonest := now.Add(c.options.ReportGracePeriod) // its sender is about to report
	if r.Begin.Deadline.Before(soonest) {
		r.Begin.Deadline = soonest
	}
	known := func(o Running) bool { return o.Turn == r.Turn && o.Begin.Attempt == r.Begin.Attempt }
	if !slices.ContainsFunc(a.relayed, known) {
		a.relayed = append(a.relayed, *r)
	}
}

// expect gives the program's turn to a carried one that follows the latest
// turn, and forgets those that no longer can.
func (c *Core) adoptRelayed(a *agent, now time.Time) {
	a.relayed = slices.DeleteFunc(a.relayed, func(r Running) bool {
		late := !now.Before(r.Begin.Deadline.Add(c.options.ReportGracePeriod))
		return late || r.Turn < a.nextTurn() || r.Turn == a.nextTurn() && r.Previous != a.head()
	})
	if a.running != nil {
		return
	}
	for i, r := range a.relayed {
		if r.Turn == a.nextTurn() {
			a.running = &runningCall{
				request:           r.Begin,
				start:             &Start{Turn: r.Turn, Previous: r.Previous},
				reservedElsewhere: true,
			}
			a.relayed = slices.Delete(a.relayed, i, i+1)
			return
		}
	}
}
