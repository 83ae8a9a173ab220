package prog

import (
	"slices"
	"time"
)

const maxRelayed = 64 // tracked turns of a program

// resume records a relay instance's turn that is still running or whose report
// the earlier home did not commit. The next call waits for it.
func (c *Core) resume(f *family, r *RelayedTurn, now time.Time) {
	a := f.agent(r.Begin.Program)
	if a == nil || f.team != r.Begin.Team || r.Turn < a.nextTurn() || len(a.relayed) >= maxRelayed {
		return
	}
	f.lastActive = now
	earliest := now.Add(c.options.ReportGracePeriod) // the relay instance reports soon
	if r.Begin.Deadline.Before(earliest) {
		r.Begin.Deadline = earliest
	}
	known := func(o RelayedTurn) bool { return o.Turn == r.Turn && o.Begin.Attempt == r.Begin.Attempt }
	if !slices.ContainsFunc(a.relayed, known) {
		a.relayed = append(a.relayed, *r)
	}
}

// adoptRelayed makes the relayed turn that follows the latest turn the running
// call, and drops relayed turns that can no longer follow.
func (c *Core) adoptRelayed(a *agent, now time.Time) {
	a.relayed = slices.DeleteFunc(a.relayed, func(r RelayedTurn) bool {
		expired := !now.Before(r.Begin.Deadline.Add(c.options.ReportGracePeriod))
		return expired || r.Turn < a.nextTurn() || r.Turn == a.nextTurn() && r.Previous != a.head()
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
