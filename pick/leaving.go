package pick

import (
	"maps"
	"time"

	"github.com/buckthorntide/buckthorntide/site"
)

const (
	// leavingTTL is how long an announced shutdown counts where the incarnation is
	// unknown, so that the upstream may have restarted; shutdowns take seconds.
	leavingTTL = time.Minute
	// unknownIncarnation is that of an upstream whose entry has none.
	unknownIncarnation = 0
)

// departures maps incarnations of an upstream that announced their shutdown to the
// time of their last announcement.
type departures map[int64]time.Duration

// ReportLeaving records that the upstream has announced its shutdown: its
// incarnation gets no more requests, whatever its entry says. It reports whether
// that is news.
func (p *Picker) ReportLeaving(u *site.Upstream, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.record(u.ID, now)
	if r.departures == nil {
		r.departures = make(departures)
	}
	return r.departures.add(u.Incarnation, now)
}

// add records an announcement and reports whether it is the incarnation's first.
// Those of other incarnations, whose processes have ended, are dropped in time.
func (d departures) add(incarnation int64, now time.Duration) bool {
	known := d.includes(incarnation, now)
	maps.DeleteFunc(d, func(_ int64, at time.Duration) bool { return now-at >= leavingTTL })
	d[incarnation] = now
	return !known
}

// includes reports whether the incarnation has announced its shutdown, or may be one
// that did.
func (d departures) includes(incarnation int64, now time.Duration) bool {
	if _, ok := d[incarnation]; ok && incarnation != unknownIncarnation {
		return true
	}
	for other, at := range d {
		if (incarnation == unknownIncarnation || other == unknownIncarnation) && now-at < leavingTTL {
			return true
		}
	}
	return false
}
