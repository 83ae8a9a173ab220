package calls

import "github.com/buckthorntide/buckthorntide/route"

// attemptHistory describes the attempts of a call so far, under all
// controllers.
type attemptHistory struct {
	// last is the report of the latest attempt; its Attempt is zero if there
	// was none.
	last route.Report
	// mayHaveRun is set if an upstream may have run one of the attempts.
	mayHaveRun bool
	// triedUpstreams holds the upstreams of the attempts.
	triedUpstreams []string
}

// callID is the ID under which the homes know the call: that of the latest
// attempt, or first if there was none.
func (h *attemptHistory) callID(first string) string {
	if h.last.Attempt == 0 {
		return first
	}
	return h.last.Call
}

// add records the outcome of an attempt.
func (h *attemptHistory) add(report route.Report) {
	h.last = report
	h.triedUpstreams = append(h.triedUpstreams, report.Upstream)
	if report.Outcome != route.OutcomeUnreachable && report.Outcome != route.OutcomeRefused {
		h.mayHaveRun = true
	}
}

// isStale reports whether a decision predates the end of the latest attempt: the
// controller answered an older message and doesn't know of that end yet.
func (h *attemptHistory) isStale(d route.Decision) bool {
	if d.Refuse != nil {
		return d.Refuse.Attempts < h.last.Attempt
	}
	return d.Assign.Attempt <= h.last.Attempt
}
