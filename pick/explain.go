package pick

import (
	"maps"
	"slices"
	"time"

	"github.com/buckthorntide/buckthorntide/site"
)

// Reasons for a choice.
const (
	// NotChosen: no upstream is eligible.
	NotChosen Reason = ""
	// LastUpstream: the program last ran there.
	LastUpstream Reason = "last upstream of the program"
	// Rendezvous: the program or the object hashes there.
	Rendezvous Reason = "rendezvous"
	// Emptiest: no other has a lower fill.
	Emptiest Reason = "emptiest"
	// NothingElseLeft: it is the only one left, or all that are left are ejected.
	NothingElseLeft Reason = "nothing else left"
)

// Exclusions of an upstream. Ejected upstreams are used if no other is left.
const (
	ExcludedDraining      Exclusion = "draining"
	ExcludedLeaving       Exclusion = "leaving"
	ExcludedDomain        Exclusion = "failure domain out"
	ExcludedVersion       Exclusion = "version"
	ExcludedTried         Exclusion = "tried"
	ExcludedEjected       Exclusion = "ejected"
	ExcludedColdAllowance Exclusion = "cold, allowance used up"
	// ExcludedOther is reported if Pick excludes the upstream for none of the above.
	ExcludedOther Exclusion = "other"
)

type (
	// Reason is why an upstream was chosen.
	Reason string

	// Exclusion is why an upstream was not eligible.
	Exclusion string

	// Assessment is one upstream as seen by a request.
	Assessment struct {
		Upstream *site.Upstream
		State    State
		// ColdFor is the time until the upstream is warm, or 0.
		ColdFor time.Duration
		// Exclusions are empty if the upstream is eligible.
		Exclusions []Exclusion
	}

	// Explanation is what Pick would choose for a request, and why.
	Explanation struct {
		// Upstreams are those of the request's service, by ascending ID.
		Upstreams []Assessment
		// Choice is nil if no upstream is eligible.
		Choice *site.Upstream
		Reason Reason
	}
)

// Explain returns what Pick would choose for the request. It runs the same selection
// on a copy of the observations, so that it changes nothing; Cold must not take a
// token either.
func (p *Picker) Explain(view *site.View, req Request) Explanation {
	scratch := p.copyFor(view, req)
	var e Explanation
	e.Choice, e.Reason = scratch.selectUpstream(view, req)
	eligible := make(map[string]bool)
	for _, c := range scratch.candidates(view, req, false) {
		eligible[c.upstream.ID] = true
	}
	for _, u := range view.Pool(req.Service) {
		e.Upstreams = append(e.Upstreams, Assessment{
			Upstream:   u,
			State:      scratch.State(u, req.Now),
			ColdFor:    max(0, u.ColdUntil-req.Now),
			Exclusions: scratch.exclusions(view, u, req, eligible[u.ID]),
		})
	}
	return e
}

// copyFor returns a picker with copies of what is known of the service's upstreams and
// of the program.
func (p *Picker) copyFor(view *site.View, req Request) *Picker {
	scratch := NewPicker()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range view.Pool(req.Service) {
		if r, ok := p.records[u.ID]; ok {
			copied := *r
			// ReportLeaving changes the map in place.
			copied.departures = maps.Clone(r.departures)
			scratch.records[u.ID] = &copied
		}
	}
	if a, ok := p.affinities[req.Program]; ok {
		scratch.affinities[req.Program] = a
	}
	return scratch
}

// exclusions returns what excludes the upstream. Whether the request may go there is
// given, so that an exclusion without a name here is reported as such.
func (p *Picker) exclusions(view *site.View, u *site.Upstream, req Request, eligible bool) []Exclusion {
	r := p.record(u.ID, req.Now)
	found := []Exclusion{}
	for _, check := range []struct {
		applies bool
		name    Exclusion
	}{
		{u.State != site.Ready, ExcludedDraining},
		{r.departures.includes(u.Incarnation, req.Now), ExcludedLeaving},
		{view.DomainExcluded(u.FailureDomain), ExcludedDomain},
		{!hasVersion(u, req.Versions), ExcludedVersion},
		{slices.Contains(req.Tried, u.ID), ExcludedTried},
		{r.ejectedUntil > req.Now, ExcludedEjected},
	} {
		if check.applies {
			found = append(found, check.name)
		}
	}
	if !eligible && len(found) == 0 {
		found = append(found, ExcludedOther)
	}
	if u.ColdUntil > req.Now && req.Cold != nil && !req.Cold(u) {
		found = append(found, ExcludedColdAllowance)
	}
	return found
}
