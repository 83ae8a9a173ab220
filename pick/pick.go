// Package pick selects the upstream for a request from the load and failures
// that this instance has observed. It does no I/O.
package pick

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/buckthorntide/buckthorntide/place"
	"github.com/buckthorntide/buckthorntide/site"
)

const (
	// loadTTL is how long a reported load replaces the count of this instance's
	// own requests in flight; a model request takes about as long.
	loadTTL = 800 * time.Millisecond
	// affinityTTL is how long a program's last upstream is remembered; tool
	// pauses are far shorter.
	affinityTTL = 20 * time.Second
	// maxAffinityFill is the fill up to which a program stays at its upstream.
	// Recomputing its prompt elsewhere delays everything that runs there, which
	// costs more than a fuller batch.
	maxAffinityFill = 1.0
	// affinityMargin is how much fuller than the emptiest upstream a full one may
	// be for a program to stay.
	affinityMargin = 0.5
	// nearTie is how much fuller than the emptiest upstream one may be to count as
	// just as empty where upstreams report a pace, which makes equal fills rare.
	// Instances that see the same figures would otherwise all choose the same one.
	nearTie = 0.05
	// objectMargin is how much fuller than the emptiest upstream the one that
	// holds an object may be.
	objectMargin = 0.34
	// minEjection and maxEjection bound the ejection after a failure; it doubles
	// with each consecutive one.
	minEjection = 300 * time.Millisecond
	maxEjection = 4 * time.Second
	// maxDoublings is where the ejection stops growing.
	maxDoublings = 4
	// failuresToEject is how many consecutive broken answers eject an upstream.
	failuresToEject = 2
	// failureHalfLife is the time in which a failure loses half of its weight:
	// about ten requests of one instance to one upstream.
	failureHalfLife = 2 * time.Second
	// maxFailureRatio is the ratio of failed requests that ejects an upstream.
	// Healthy services fail about one request in a hundred.
	maxFailureRatio = 0.2
	// minFailureWeight is the weight of failures from which the ratio counts: two
	// in quick succession. During probation after such an ejection one is enough.
	minFailureWeight       = 1.5
	probationFailureWeight = 1.0
	probationDuration      = 10 * time.Second
	// busyEjection is the ejection of an upstream that had no free slot; about
	// one request of a plain service.
	busyEjection = 25 * time.Millisecond
	// minSweepSize is how many programs, or upstreams, are remembered before old
	// ones are dropped.
	minSweepSize = 4096
	// recordTTL is how long an unlisted upstream is remembered; entries that expire
	// while the store is down come back sooner.
	recordTTL = 10 * time.Minute
)

// Outcomes of a request at an upstream.
const (
	// Answered: the whole answer was received.
	Answered Outcome = iota
	// Busy: the upstream had no free slot.
	Busy
	// Broken: the request could not be sent or the connection broke.
	Broken
	// Unreachable: the connection could not be made.
	Unreachable
	// Failed: the upstream ran the request and returned an error.
	Failed
	// Moved: the upstream no longer has this address.
	Moved
	// Abandoned: this side gave up on the request.
	Abandoned
)

type (
	// Outcome is how a request at an upstream ended.
	Outcome int

	// Load is the load that an upstream reports with an answer.
	Load struct {
		Running int
		Waiting int
		Slots   int
		// Pace is how long work takes there now, in percent of the usual; 0 means
		// unknown.
		Pace int
	}

	// Request describes a request that needs an upstream.
	Request struct {
		Service string
		// Program and Object name the cached state that the upstream may hold
		// already.
		Program string
		Object  string
		// Domain is this instance's failure domain.
		Domain string
		// Tried are the upstreams to exclude.
		Tried []string
		// Versions are the software versions that the upstream may have; nil allows
		// any.
		Versions []string
		// Cold reports whether the request may go to a cold upstream. It may take a
		// token of the upstream's allowance.
		Cold func(u *site.Upstream) bool
		// Now is on the clock of common.Uptime.
		Now time.Duration
	}

	// Picker selects upstreams by the outcomes of earlier requests. It is safe
	// for concurrent use.
	Picker struct {
		mu            sync.Mutex
		records       map[string]*record
		affinities    map[string]affinity
		nextSweepSize int
		// nextRecordSweepSize is nextSweepSize for the records.
		nextRecordSweepSize int
	}

	// State is what a picker has observed of an upstream.
	State struct {
		// InFlight counts this instance's requests in flight there.
		InFlight int `json:"inFlight"`
		// Fill estimates running and waiting requests as a share of the slots,
		// weighted by the pace.
		Fill float64 `json:"fill"`
		// Pace is the recent pace that the fill includes, in percent; 0 if unknown.
		Pace int `json:"pace"`
		// Size is its weight in the placement of programs and objects.
		Size float64 `json:"size"`
		// Failures counts consecutive broken answers.
		Failures int `json:"failures"`
		// EjectedForMs is the time left of its ejection, in milliseconds.
		EjectedForMs int64 `json:"restForMs"`
		// Leaving is set if the upstream has announced its shutdown.
		Leaving bool `json:"leaving"`
	}

	record struct {
		usedAt         time.Duration
		inFlight       int
		load           Load
		loadAt         time.Duration
		inFlightAtLoad int
		pace           pace
		failures       int
		ejectedUntil   time.Duration
		// endedWeight and failedWeight count recent requests, decayed until
		// weighedAt.
		endedWeight  float64
		failedWeight float64
		weighedAt    time.Duration
		// ejections counts those for a high failure ratio, until probation ends.
		ejections    int
		probationEnd time.Duration
		departures   departures
	}

	affinity struct {
		upstream string
		usedAt   time.Duration
	}

	candidate struct {
		upstream *site.Upstream
		fill     float64
		cold     bool
		// size is the upstream's weight for programs and objects.
		size float64
		// speed is its weight among upstreams that are equally empty.
		speed float64
		// paced is set if the fill includes a pace.
		paced bool
	}
)

// NewPicker returns a picker without observations.
func NewPicker() *Picker {
	return &Picker{
		records:             make(map[string]*record),
		affinities:          make(map[string]affinity),
		nextSweepSize:       minSweepSize,
		nextRecordSweepSize: minSweepSize,
	}
}

// Pick selects the upstream for the request and counts the request as in flight
// there until Done. It returns nil if no upstream is eligible.
func (p *Picker) Pick(view *site.View, req Request) *site.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropOldRecords(view, req.Now)
	u, _ := p.selectUpstream(view, req)
	if u != nil {
		p.start(u, req)
	}
	return u
}

// selectUpstream returns the upstream for the request and why it was chosen, or nil
// if none is eligible.
func (p *Picker) selectUpstream(view *site.View, req Request) (*site.Upstream, Reason) {
	candidates := p.candidates(view, req, false)
	onlyEjected := len(candidates) == 0
	if onlyEjected {
		// An ejected upstream is better than none.
		candidates = p.candidates(view, req, true)
	}
	for len(candidates) > 0 {
		i, reason := p.choose(candidates, req)
		c := candidates[i]
		if !c.cold || req.Cold == nil || req.Cold(c.upstream) {
			if onlyEjected || len(candidates) == 1 {
				reason = NothingElseLeft
			}
			return c.upstream, reason
		}
		candidates = slices.Delete(candidates, i, i+1)
	}
	return nil, NotChosen
}

// Done records the outcome of a request at an upstream.
func (p *Picker) Done(upstream string, outcome Outcome, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.record(upstream, now)
	r.inFlight = max(0, r.inFlight-1)
	switch outcome {
	case Answered:
		r.failures = 0
		r.recordResult(false, now)
	case Failed:
		r.recordResult(true, now)
	case Busy:
		r.ejectedUntil = max(r.ejectedUntil, now+busyEjection)
	case Broken:
		r.recordResult(true, now)
		r.failures++
		// A single broken answer predicts little, and an ejection moves programs
		// away from their cached prompts.
		if r.failures >= failuresToEject {
			r.eject(r.failures-failuresToEject, now)
		}
	case Moved, Unreachable:
		// Every other request would fail in the same way.
		r.failures++
		r.eject(r.failures-1, now)
	case Abandoned:
	}
}

// ReportStalled records that the upstream has sent nothing for a request for far
// longer than an answer takes. It reports whether the upstream is now ejected
// while most of the service's other upstreams of the software versions aren't, so
// that the request is better sent to one of them.
func (p *Picker) ReportStalled(view *site.View, service, upstream string, versions []string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.record(upstream, now)
	r.recordResult(true, now)
	if r.ejectedUntil <= now {
		return false
	}
	usable, ejected := 0, 0
	for _, u := range view.Pool(service) {
		if !p.acceptsRequests(view, u, now) || !hasVersion(u, versions) {
			continue
		}
		usable++
		if p.record(u.ID, now).ejectedUntil > now {
			ejected++
		}
	}
	return 2*ejected < usable
}

// recordResult counts a request that ended. An upstream that fails many of them
// is ejected even if others succeed in between, which its health check would
// not show.
func (r *record) recordResult(failed bool, now time.Duration) {
	decay := math.Exp2(-(now - r.weighedAt).Seconds() / failureHalfLife.Seconds())
	r.endedWeight, r.failedWeight, r.weighedAt = r.endedWeight*decay+1, r.failedWeight*decay, now
	if !failed {
		return
	}
	r.failedWeight++
	minWeight := minFailureWeight
	if now < r.probationEnd {
		minWeight = probationFailureWeight
	} else {
		r.ejections = 0
	}
	if r.failedWeight < minWeight || r.failedWeight < maxFailureRatio*r.endedWeight {
		return
	}
	r.eject(r.ejections, now)
	r.ejections++
	r.endedWeight, r.failedWeight, r.probationEnd = 0, 0, now+probationDuration
}

// eject excludes the upstream for a time that doubles with each ejection.
func (r *record) eject(doublings int, now time.Duration) {
	duration := maxEjection
	if doublings < maxDoublings {
		duration = min(maxEjection, minEjection<<doublings)
	}
	r.ejectedUntil = max(r.ejectedUntil, now+duration)
}

// ReportLoad records the load that an upstream reported with an answer.
func (p *Picker) ReportLoad(upstream string, load Load, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.record(upstream, now)
	r.load, r.loadAt, r.inFlightAtLoad = load, now, r.inFlight
	r.pace.report(load.Pace, now)
}

// State returns the observations of the upstream.
func (p *Picker) State(u *site.Upstream, now time.Duration) State {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.record(u.ID, now)
	percent := 0
	if factor, known := r.pace.current(now); known {
		percent = int(math.Round(factor * nominalPace))
	}
	return State{
		InFlight:     r.inFlight,
		Fill:         r.fill(u, now),
		Pace:         percent,
		Size:         r.size(u, now),
		Failures:     r.failures,
		EjectedForMs: max(0, r.ejectedUntil-now).Milliseconds(),
		Leaving:      r.departures.includes(u.Incarnation, now),
	}
}

// LastUpstream returns the upstream that the program last ran at, or "".
func (p *Picker) LastUpstream(program string, now time.Duration) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastUpstream(program, now)
}

func (p *Picker) lastUpstream(program string, now time.Duration) string {
	h, ok := p.affinities[program]
	if !ok || now-h.usedAt > affinityTTL {
		return ""
	}
	return h.upstream
}

func (p *Picker) record(upstream string, now time.Duration) *record {
	r, ok := p.records[upstream]
	if !ok {
		r = &record{}
		p.records[upstream] = r
	}
	r.usedAt = now
	return r
}

// dropOldRecords drops those of upstreams that have left, once there are many.
func (p *Picker) dropOldRecords(view *site.View, now time.Duration) {
	if len(p.records) < p.nextRecordSweepSize {
		return
	}
	listed := make(map[string]bool)
	for _, u := range view.Upstreams() {
		listed[u.ID] = true
	}
	maps.DeleteFunc(p.records, func(upstream string, r *record) bool {
		return !listed[upstream] && r.inFlight == 0 && now-r.usedAt > recordTTL
	})
	p.nextRecordSweepSize = max(minSweepSize, 2*len(p.records))
}

func (p *Picker) start(u *site.Upstream, req Request) {
	p.record(u.ID, req.Now).inFlight++
	if req.Program == "" {
		return
	}
	if len(req.Tried) == 0 {
		// An upstream chosen because the usual one failed once doesn't replace it.
		p.affinities[req.Program] = affinity{upstream: u.ID, usedAt: req.Now}
	}
	if len(p.affinities) < p.nextSweepSize {
		return
	}
	for program, h := range p.affinities {
		if req.Now-h.usedAt > affinityTTL {
			delete(p.affinities, program)
		}
	}
	p.nextSweepSize = max(minSweepSize, 2*len(p.affinities))
}

// acceptsRequests reports whether the operator and the upstream itself, by its
// entry and its answers, allow new requests there.
func (p *Picker) acceptsRequests(view *site.View, u *site.Upstream, now time.Duration) bool {
	return u.State == site.Ready && !view.DomainExcluded(u.FailureDomain) && !p.record(u.ID, now).departures.includes(u.Incarnation, now)
}

// hasVersion reports whether the upstream has one of the software versions; nil
// stands for any.
func hasVersion(u *site.Upstream, versions []string) bool {
	return versions == nil || slices.Contains(versions, u.SoftwareVersion)
}

func (p *Picker) candidates(view *site.View, req Request, includeEjected bool) []candidate {
	pool := view.Pool(req.Service)
	candidates := make([]candidate, 0, len(pool))
	for _, u := range pool {
		if !p.acceptsRequests(view, u, req.Now) || !hasVersion(u, req.Versions) || slices.Contains(req.Tried, u.ID) {
			continue
		}
		r := p.record(u.ID, req.Now)
		if !includeEjected && r.ejectedUntil > req.Now {
			continue
		}
		factor, paced := r.pace.current(req.Now)
		if !paced {
			factor = r.pace.longTerm(req.Now)
		}
		candidates = append(candidates, candidate{
			upstream: u,
			fill:     r.fill(u, req.Now),
			cold:     u.ColdUntil > req.Now,
			size:     r.size(u, req.Now),
			speed:    1 / factor,
			paced:    paced,
		})
	}
	return candidates
}

// fill estimates the running and waiting requests as a share of the upstream's
// slots. Where work takes longer than usual, each request counts for more.
func (r *record) fill(u *site.Upstream, now time.Duration) float64 {
	busy := r.inFlight
	if r.loadAt > 0 && now-r.loadAt < loadTTL {
		// The report included this instance's requests of that moment, also the one
		// that it came with.
		busy = max(busy, r.load.Running+r.load.Waiting+r.inFlight-r.inFlightAtLoad)
	}
	factor, _ := r.pace.current(now)
	return factor * float64(busy) / float64(max(1, u.Slots))
}

// size returns the upstream's weight: its slots, fewer where work has taken longer
// than usual for long.
func (r *record) size(u *site.Upstream, now time.Duration) float64 {
	return float64(max(1, u.Slots)) / r.pace.longTerm(now)
}

// choose returns the index of the candidate to try first, and why it is the first.
func (p *Picker) choose(candidates []candidate, req Request) (int, Reason) {
	lowest := emptiest(candidates, req)
	switch {
	case req.Program != "":
		return p.chooseForProgram(candidates, lowest, req)
	case req.Object == "":
		return lowest, Emptiest
	}
	i := rendezvous(candidates, req.Object, func(candidate) bool { return true })
	if !candidates[i].cold && candidates[i].fill <= candidates[lowest].fill+objectMargin {
		return i, Rendezvous
	}
	return lowest, Emptiest
}

// chooseForProgram keeps a program at its last upstream. Otherwise it uses
// rendezvous hashing with bounded load, so that all instances choose the same
// upstream unless that is much fuller than the others.
func (p *Picker) chooseForProgram(candidates []candidate, lowest int, req Request) (int, Reason) {
	last := p.lastUpstream(req.Program, req.Now)
	i := slices.IndexFunc(candidates, func(c candidate) bool { return c.upstream.ID == last })
	if i >= 0 && !candidates[i].cold && (candidates[i].fill < maxAffinityFill || candidates[i].fill <= candidates[lowest].fill+affinityMargin) {
		return i, LastUpstream
	}
	limit := place.FillLimit(candidates, func(c candidate) float64 { return c.fill })
	i = rendezvous(candidates, req.Program, func(c candidate) bool { return !c.cold && c.fill <= limit })
	if i < 0 {
		return lowest, Emptiest
	}
	return i, Rendezvous
}

// emptiest returns the warm candidate with the lowest fill, or the emptiest
// cold one. Among those that are equally empty it prefers the instance's failure
// domain, then the request decides, so that instances with the same view don't
// all choose the first.
func emptiest(candidates []candidate, req Request) int {
	salt := req.Program + req.Object + req.Domain + strconv.FormatInt(int64(req.Now), 10)
	allCold := !slices.ContainsFunc(candidates, func(c candidate) bool { return !c.cold })
	lowest, margin := math.Inf(1), 0.0
	for _, c := range candidates {
		if c.cold != allCold {
			continue
		}
		lowest = min(lowest, c.fill)
		if c.paced {
			margin = nearTie
		}
	}
	tied := func(c candidate) bool { return c.cold == allCold && c.fill <= lowest+margin }
	anyNear := slices.ContainsFunc(candidates, func(c candidate) bool {
		return tied(c) && c.upstream.FailureDomain == req.Domain
	})
	return place.Choose(candidates, salt, func(c candidate) (place.Member, bool) {
		eligible := tied(c) && (!anyNear || c.upstream.FailureDomain == req.Domain)
		return place.Member{Name: c.upstream.ID, Size: c.speed}, eligible
	})
}

// rendezvous returns the index of the eligible candidate that the name is assigned
// to, or -1.
func rendezvous(candidates []candidate, name string, fits func(c candidate) bool) int {
	return place.Choose(candidates, name, func(c candidate) (place.Member, bool) {
		return place.Member{Name: c.upstream.ID, Size: c.size}, fits(c)
	})
}
