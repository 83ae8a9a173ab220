package calls

import "github.com/buckthorntide/buckthorntide/route"

// tries are the attempts that a call has made so far, under any controller.
type tries struct {
	// last is the report of the latest attempt; its Attempt is zero before the
	// first one.
	last route.Report
	// begun says that one of them may have run.
	begun bool
	// failed are the upstreams of the attempts.
	failed []string
}

// callID is the ID that the homes know the call by: that of the latest
// attempt, or the first one.
func (t *tries) callID(first string) string {
	if t.last.Attempt == 0 {
		return first
	}
	return t.last.Call
}

// add notes how an attempt ended.
func (t *tries) add(report route.Report) {
	t.last = report
	t.failed = append(t.failed, report.Upstream)
	if report.Outcome != route.OutcomeUnreachable && report.Outcome != route.OutcomeRefused {
		t.begun = true
	}
}

// isStale tells a decision that answers an older message: a controller that
// does not know yet that the latest attempt has ended.
func (t *tries) isStale(d route.Decision) bool {
	if d.Refuse != nil {
		return d.Refuse.Attempts < t.last.Attempt
	}
	return d.Assign.Attempt <= t.last.Attempt
}
