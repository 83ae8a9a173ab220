package route

import (
	"slices"
	"strings"
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
)

const (
	// maxBackoff bounds how long an unreachable upstream is excluded.
	maxBackoff = 10 * time.Second
	// slowFactor is the ratio of first-token time to its estimate that makes an
	// upstream look cold; slowToReset of them in a row reset its slow start.
	slowFactor  = 4
	slowToReset = 3
	// minSlowFirstToken is the shortest first-token time that looks cold.
	minSlowFirstToken = 250 * time.Millisecond
	// coldReportsToReset is how many consecutive load reports must report a warm
	// upstream as cold.
	coldReportsToReset = 2
)

// upstream is a server of the service.
type upstream struct {
	conf.Upstream
	// leaving means that the configuration doesn't contain it or that its failure
	// domain is out.
	leaving bool
	ramp    ramp
	// running holds the calls in flight, by ID.
	running map[string]*entry
	// queue holds the calls that wait for this upstream's prefix cache.
	queue *fairQueue
	// downUntil ends the backoff after a failed connection, a refusal or
	// consecutive failures.
	downUntil time.Time
	backoff   time.Duration
	// prefillUntil is when the assigned prefills are expected to be done.
	prefillUntil time.Time
	// liveTokens counts the prompts running here and the reservations of programs
	// in a tool pause.
	liveTokens int
	// epoch is from the last load report; empty means that there was none.
	epoch string
	// warmth is the latest one that a relay reported to this pool.
	warmth Warmth
	// failures and slowInRow count consecutive failures and slow first tokens.
	failures  int
	slowInRow int
	// latencyRatio is the moving average of first-token time over its estimate.
	latencyRatio float64
	coldReports  int
	crashedAt    time.Time
	// suspect is the suspect that runs here, or nil.
	suspect *entry
	// reportedCalls is how many calls the last load report counted.
	reportedCalls int
	loadAt        time.Time
}

func newUpstream(c conf.Upstream) *upstream {
	u := &upstream{
		Upstream:     c,
		ramp:         newRamp(c.ColdSlots, c.Slots),
		running:      make(map[string]*entry),
		latencyRatio: 1,
	}
	u.queue = newFairQueue(u)
	return u
}

// usable reports whether the upstream may get work at all.
func (u *upstream) usable(now time.Time) bool {
	return !u.leaving && !now.Before(u.downUntil)
}

// reset restarts the slow start.
func (u *upstream) reset() {
	u.ramp.reset()
	u.slowInRow = 0
	u.coldReports = 0
	u.latencyRatio = 1
}

// applyWarmth applies a reported warmth once a load report shows that the
// upstream hasn't restarted since, unless this pool has reset its slow start.
func (u *upstream) applyWarmth() {
	if u.warmth.Upstream == "" || u.loadAt.IsZero() || u.warmth.Epoch != u.epoch || u.ramp.generation > 0 {
		return
	}
	u.ramp.allowance = min(max(u.warmth.Allowance, u.ramp.allowance), u.ramp.slots)
}

// rampInProgress reports whether a success has counted for the slow start or an
// attempt in flight may still count.
func (u *upstream) rampInProgress() bool {
	if u.ramp.allowance > u.ramp.coldSlots || u.ramp.successes > 0 {
		return true
	}
	for _, e := range u.running {
		if e.generation == u.ramp.generation {
			return true
		}
	}
	return false
}

// startBackoff excludes the upstream for a time that doubles until it is
// reachable again.
func (u *upstream) startBackoff(l *Limits, now time.Time) {
	if now.Before(u.downUntil) {
		return
	}
	u.backoff = min(max(2*u.backoff, l.MinBackoff), maxBackoff)
	u.downUntil = now.Add(u.backoff)
}

// endBackoff makes the upstream usable at once.
func (u *upstream) endBackoff() {
	u.backoff = 0
	u.downUntil = time.Time{}
}

// observeFirstToken detects an upstream that turned cold without reporting it.
// It returns true if the upstream looks cold.
func (u *upstream) observeFirstToken(took, expected time.Duration) bool {
	ratio := float64(took) / float64(max(expected, time.Millisecond))
	if took < minSlowFirstToken || ratio < slowFactor*u.latencyRatio {
		u.slowInRow = 0
		u.latencyRatio += estimateGain * (max(ratio, 1) - u.latencyRatio)
		return false
	}
	u.slowInRow++
	return u.slowInRow >= slowToReset
}

// prefillBacklog returns how long the assigned prefills are expected to take.
func (u *upstream) prefillBacklog(now time.Time) time.Duration {
	return max(u.prefillUntil.Sub(now), 0)
}

// unconfiguredUpstream describes an upstream that is not in the configuration.
func unconfiguredUpstream(name string) conf.Upstream {
	return conf.Upstream{Name: name, Slots: 1, ColdSlots: 1}
}

func sortUpstreams(order []*upstream) {
	slices.SortFunc(order, func(a, b *upstream) int { return strings.Compare(a.Name, b.Name) })
}
