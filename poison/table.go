// Package poison decides which requests crash the upstreams that run them, and
// holds them off. It does no I/O.
//
// A crash is the end of one incarnation of an upstream, with the requests that were in
// flight there. It counts against those of them that were in more crashes than the others:
// a request that only ran beside a poisonous one is cleared by it. A request is held off once
// Limit crashes count against it, for HoldTime after the last one. After that it may run
// again, but a single further crash holds it off anew.
//
// Requests are compared at two levels: the same caller, path and body, and the same caller
// and path. The second level needs crashes by different bodies, so that a single body is not
// held against the others of its path. A whole answer proves that neither its request nor its
// path is harmful at the software version that gave it: it clears both from each crash of that
// version that is known by then. What was cleared of which crash is told like the crash itself
// and may arrive before it, so that all instances that were told the same decide the same,
// whenever they started and in whatever order they were told.
package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Limit is the number of crashes from which a request is held off.
	Limit = 3
	// RetryLimit is the number of crashes from which a request is no longer retried at
	// another upstream on its instance's own account.
	RetryLimit = 2
	// HoldTime is how long a request is held off after its last crash. Software that
	// crashes is rarely replaced sooner.
	HoldTime = 10 * time.Minute
	// retention is how long a crash is remembered.
	retention = 2 * HoldTime
	// minBodies is how many bodies must have crashed upstreams before others of the same
	// path are held off.
	minBodies = 2
	// maxCrashes bounds the crashes that are remembered, maxRequests the requests of each,
	// and maxCleared the fingerprints of which each was cleared.
	maxCrashes  = 512
	maxRequests = 64
	maxCleared  = 2 * maxRequests
)

type (
	// Fingerprint is a hash of what requests have in common.
	Fingerprint uint64

	// Request identifies a request. The fingerprints of both levels must differ.
	Request struct {
		// Exact is the fingerprint of the caller, the path and the body.
		Exact Fingerprint
		// Path is that of the caller and the path.
		Path Fingerprint
	}

	// Crash is the end of an upstream that had requests in flight.
	Crash struct {
		Upstream    string
		Incarnation int64
		// Version is the upstream's software version.
		Version string
		// Age is the least time since the upstream ended.
		Age time.Duration
		// Requests were in flight at the upstream when it ended.
		Requests []Request
	}

	// Table holds the crashes that are known to an instance. It is not safe for
	// concurrent use.
	Table struct {
		crashes map[process]*entry
		// suspects index the crashes by the fingerprints that count for them.
		suspects map[Fingerprint][]*entry
	}

	// process is one incarnation of an upstream.
	process struct {
		upstream    string
		incarnation int64
	}

	entry struct {
		process
		version  string
		at       time.Duration
		requests []Request
		// cleared are the fingerprints that were proven harmless since.
		cleared []Fingerprint
	}
)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{crashes: make(map[process]*entry), suspects: make(map[Fingerprint][]*entry)}
}

// Empty reports whether no crash is known.
func (t *Table) Empty() bool { return len(t.crashes) == 0 }

// Len returns the number of known crashes.
func (t *Table) Len() int { return len(t.crashes) }

// Record adds a crash, or requests to a known one. It returns the requests that it didn't
// know of the crash, and those of them that are held off.
func (t *Table) Record(c Crash, now time.Duration) (added, held []Request) {
	t.expire(now)
	if c.Age > retention {
		return nil, nil
	}
	e := t.entry(c, now)
	for _, r := range c.Requests {
		if len(e.requests) >= maxRequests || slices.Contains(e.requests, r) {
			continue
		}
		e.requests = append(e.requests, r)
		t.count(r.Exact, e)
		t.count(r.Path, e)
		added = append(added, r)
	}
	for _, r := range added {
		if t.HeldFor(r, now) > 0 {
			held = append(held, r)
		}
	}
	return added, held
}

// entry returns the crash's entry, a new one if it isn't known.
func (t *Table) entry(c Crash, now time.Duration) *entry {
	p := process{c.Upstream, c.Incarnation}
	e, ok := t.crashes[p]
	if !ok {
		t.evict(now)
		e = &entry{process: p, at: now - c.Age}
		t.crashes[p] = e
	}
	e.version = cmp.Or(e.version, c.Version)
	e.at = min(e.at, now-c.Age)
	return e
}

func (t *Table) count(f Fingerprint, e *entry) {
	if !slices.Contains(e.cleared, f) && !slices.Contains(t.suspects[f], e) {
		t.suspects[f] = append(t.suspects[f], e)
	}
}

// Crashes returns in how many crashes the request, or another one of its path, was in flight.
func (t *Table) Crashes(r Request) int { return max(len(t.suspects[r.Exact]), len(t.suspects[r.Path])) }

// HeldFor returns how much longer the request is held off, or 0.
func (t *Table) HeldFor(r Request, now time.Duration) time.Duration {
	return max(t.exactHeldFor(r.Exact, now), t.pathHeldFor(r.Path, now))
}

func (t *Table) exactHeldFor(f Fingerprint, now time.Duration) time.Duration {
	return t.heldFor(f, now, func(e *entry) bool {
		return slices.ContainsFunc(e.requests, func(r Request) bool { return r.Exact == f && t.blames(e, r) })
	})
}

// pathHeldFor is the same for all bodies of a path.
func (t *Table) pathHeldFor(f Fingerprint, now time.Duration) time.Duration {
	var bodies []Fingerprint
	left := t.heldFor(f, now, func(e *entry) bool {
		worst := t.worstOfPath(e, f)
		if worst.Exact == 0 || !t.blames(e, worst) {
			return false
		}
		if !slices.Contains(bodies, worst.Exact) {
			bodies = append(bodies, worst.Exact)
		}
		return true
	})
	if len(bodies) < minBodies {
		return 0
	}
	return left
}

func (t *Table) heldFor(f Fingerprint, now time.Duration, counts func(e *entry) bool) time.Duration {
	if len(t.suspects[f]) < Limit {
		return 0
	}
	counted := 0
	var left time.Duration
	for _, e := range t.suspects[f] {
		if counts(e) {
			counted++
			left = max(left, e.at+HoldTime-now)
		}
	}
	if counted < Limit {
		return 0
	}
	return left
}

// worstOfPath returns the crash's request of the path that was in most crashes.
func (t *Table) worstOfPath(e *entry, path Fingerprint) Request {
	var worst Request
	for _, r := range e.requests {
		if r.Path != path {
			continue
		}
		order := cmp.Or(cmp.Compare(len(t.suspects[r.Exact]), len(t.suspects[worst.Exact])), cmp.Compare(r.Exact, worst.Exact))
		if worst.Exact == 0 || order > 0 {
			worst = r
		}
	}
	return worst
}

// blames reports whether none of the crash's other requests was in more crashes.
func (t *Table) blames(e *entry, r Request) bool {
	crashes := t.Crashes(r)
	return !slices.ContainsFunc(e.requests, func(other Request) bool { return t.Crashes(other) > crashes })
}

// Clear drops the request and its path from the crashes of upstreams of the version, since
// one of them answered it whole. It returns those crashes, each with the fingerprints that
// were dropped; the other one is 0.
func (t *Table) Clear(r Request, version string) []Crash {
	var cleared []Crash
	for _, e := range t.suspected(r) {
		if e.version != version {
			continue
		}
		dropped := Request{Exact: t.clear(e, r.Exact), Path: t.clear(e, r.Path)}
		cleared = append(cleared, Crash{Upstream: e.upstream, Incarnation: e.incarnation, Version: version, Requests: []Request{dropped}})
	}
	return cleared
}

// ClearCrash drops the requests and their paths from the crash, which another instance
// cleared of them.
func (t *Table) ClearCrash(c Crash, now time.Duration) {
	t.expire(now)
	if c.Age > retention {
		return
	}
	e := t.entry(c, now)
	for _, r := range c.Requests {
		t.clear(e, r.Exact)
		t.clear(e, r.Path)
	}
}

// suspected returns the crashes that count against the request or its path.
func (t *Table) suspected(r Request) []*entry {
	found := slices.Clone(t.suspects[r.Exact])
	for _, e := range t.suspects[r.Path] {
		if !slices.Contains(found, e) {
			found = append(found, e)
		}
	}
	return found
}

// clear drops the fingerprint from the crash and returns it if it counted.
func (t *Table) clear(e *entry, f Fingerprint) Fingerprint {
	if f == 0 {
		return 0
	}
	if len(e.cleared) < maxCleared && !slices.Contains(e.cleared, f) {
		e.cleared = append(e.cleared, f)
	}
	if !slices.Contains(t.suspects[f], e) {
		return 0
	}
	t.replace(f, slices.DeleteFunc(t.suspects[f], func(other *entry) bool { return other == e }))
	return f
}

func (t *Table) replace(f Fingerprint, entries []*entry) {
	if len(entries) == 0 {
		delete(t.suspects, f)
		return
	}
	t.suspects[f] = entries
}

// expire drops the crashes that are older than the retention.
func (t *Table) expire(now time.Duration) {
	for _, e := range t.crashes {
		if now-e.at > retention {
			t.drop(e)
		}
	}
}

// evict makes room for a crash: the oldest one is dropped that holds no request off, or
// the oldest one.
func (t *Table) evict(now time.Duration) {
	if len(t.crashes) < maxCrashes {
		return
	}
	var oldest *entry
	oldestHolds := false
	for _, e := range t.crashes {
		holds := slices.ContainsFunc(e.requests, func(r Request) bool { return t.HeldFor(r, now) > 0 })
		if oldest == nil || (oldestHolds && !holds) || (oldestHolds == holds && compareEntries(e, oldest) < 0) {
			oldest, oldestHolds = e, holds
		}
	}
	t.drop(oldest)
}

func compareEntries(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.upstream, b.upstream), cmp.Compare(a.incarnation, b.incarnation))
}

func (t *Table) drop(e *entry) {
	delete(t.crashes, e.process)
	for _, r := range e.requests {
		for _, f := range []Fingerprint{r.Exact, r.Path} {
			t.replace(f, slices.DeleteFunc(t.suspects[f], func(other *entry) bool { return other == e }))
		}
	}
}
