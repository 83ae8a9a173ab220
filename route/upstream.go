package route

import (
	"slices"
	"strings"
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
)

const (
	// maxBackoff bounds how long an unreachable upstream gets nothing.
	maxBackoff = 10 * time.Second
	// slowFactor is how many times slower than expected a first token is that
	// makes an upstream look cold; slowCount of them in a row reset it.
	slowFactor = 4
	slowCount  = 3
	// slowFloor is the shortest first-token time that looks cold.
	slowFloor = 250 * time.Millisecond
	// coldReports is how many load reports in a row must call a warm upstream
	// cold.
	coldReports = 2
)

// upstream is one server behind the service.
type upstream struct {
	conf.Upstream
	// leaving says that it isn't in the text or that its domain is out.
	leaving bool
	ramp    ramp
	// running is the calls in flight, in no order.
	running map[string]*entry
	// queue holds the calls that wait for this upstream's cache.
	queue *fairQueue
	// downUntil is when an upstream that took no connection is tried again.
	downUntil time.Time
	backoff   time.Duration
	// prefillUntil is when the prefills sent so far are expected to be done.
	prefillUntil time.Time
	// live is the tokens of programs that run or pause shortly here.
	live int
	// epoch is from the last load report; empty means that none came.
	epoch string
	// warmth is the youngest one that a relay reported to this pool.
	warmth Warmth
	// failures and slow count in a row.
	failures int
	slow     int
	// slowness is the learnt ratio of first-token time to its estimate.
	slowness  float64
	coldSeen  int
	crashedAt time.Time
	// suspect is the one that runs here, if any.
	suspect *entry
	// loadTotal is the calls that the last load report counted.
	loadTotal int
	loadAt    time.Time
}

func newUpstream(c conf.Upstream) *upstream {
	u := &upstream{
		Upstream: c,
		ramp:     newRamp(c.ColdSlots, c.Slots),
		running:  make(map[string]*entry),
		slowness: 1,
	}
	u.queue = newFairQueue(u)
	return u
}

// usable says that the upstream may get work at all.
func (u *upstream) usable(now time.Time) bool {
	return !u.leaving && !now.Before(u.downUntil)
}

// reset starts the slow start again.
func (u *upstream) reset() {
	u.ramp.reset()
	u.slow = 0
	u.coldSeen = 0
	u.slowness = 1
}

// believeWarmth takes a reported warmth over once a load report shows that the
// upstream hasn't started again since, unless this pool has found it cold.
func (u *upstream) believeWarmth() {
	if u.warmth.Upstream == "" || u.loadAt.IsZero() || u.warmth.Epoch != u.epoch || u.ramp.generation > 0 {
		return
	}
	u.ramp.allowance = min(max(u.warmth.Allowance, u.ramp.allowance), u.ramp.slots)
}

// begunRamp says that a success has counted for the slow start or may do so.
func (u *upstream) begunRamp() bool {
	if u.ramp.allowance > u.ramp.cold || u.ramp.successes > 0 {
		return true
	}
	for _, e := range u.running {
		if e.generation == u.ramp.generation {
			return true
		}
	}
	return false
}

// goDown keeps work away for a time that doubles until it is reached again.
func (u *upstream) goDown(l *Limits, now time.Time) {
	if now.Before(u.downUntil) {
		return
	}
	u.backoff = min(max(2*u.backoff, l.BackoffTime), maxBackoff)
	u.downUntil = now.Add(u.backoff)
}

// comeUp notes that the upstream answers.
func (u *upstream) comeUp() {
	u.backoff = 0
	u.downUntil = time.Time{}
}

// noteFirstToken watches for an upstream that turned cold unannounced. It
// returns true if the upstream looks cold.
func (u *upstream) noteFirstToken(took, expected time.Duration) bool {
	ratio := float64(took) / float64(max(expected, time.Millisecond))
	if took < slowFloor || ratio < slowFactor*u.slowness {
		u.slow = 0
		u.slowness += estimateGain * (max(ratio, 1) - u.slowness)
		return false
	}
	u.slow++
	return u.slow >= slowCount
}

// prefillBacklog is how long the prefills sent so far are expected to take.
func (u *upstream) prefillBacklog(now time.Time) time.Duration {
	return max(u.prefillUntil.Sub(now), 0)
}

// upstreamOf describes an upstream that the text doesn't name.
func upstreamOf(name string) conf.Upstream {
	return conf.Upstream{Name: name, Slots: 1, ColdSlots: 1}
}

func sortUpstreams(order []*upstream) {
	slices.SortFunc(order, func(a, b *upstream) int { return strings.Compare(a.Name, b.Name) })
}
