package prog

import (
	"slices"
	"time"
)

const maxComing = 64 // turns of a program that other instances may carry

// resume notes a turn that a relaying instance carries: it runs, or its report
// was not kept by the earlier home. The next call waits for it.
func (c *Core) resume(f *family, r *Running, now time.Time) {
	a := f.agent(r.Begin.Program)
	if a == nil || f.team != r.Begin.Team || r.Turn < a.next() || len(a.coming) >= maxComing {
		return
	}
	f.touched = now
	soonest := now.Add(c.options.RunGrace) // its sender is about to report
	if r.Begin.Deadline.Before(soonest) {
		r.Begin.Deadline = soonest
	}
	known := func(o Running) bool { return o.Turn == r.Turn && o.Begin.Attempt == r.Begin.Attempt }
	if !slices.ContainsFunc(a.coming, known) {
		a.coming = append(a.coming, *r)
	}
}

// expect gives the program's turn to a carried one that follows the latest
// turn, and forgets those that no longer can.
func (c *Core) expect(a *agent, now time.Time) {
	a.coming = slices.DeleteFunc(a.coming, func(r Running) bool {
		late := !now.Before(r.Begin.Deadline.Add(c.options.RunGrace))
		return late || r.Turn < a.next() || r.Turn == a.next() && r.Previous != a.head()
	})
	if a.running != nil {
		return
	}
	for i, r := range a.coming {
		if r.Turn == a.next() {
			a.running = &running{
				request: r.Begin,
				start:   &Start{Turn: r.Turn, Previous: r.Previous},
				foreign: true,
			}
			a.coming = slices.Delete(a.coming, i, i+1)
			return
		}
	}
}
