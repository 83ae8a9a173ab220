// Package roster holds the list of instances and assigns names to them by
// rendezvous hashing. Each instance registers a row in the store when it starts
// and removes it at a planned stop; peers remove the rows of unreachable
// instances. Where the process of a row may have granted what no other knows,
// whoever replaces or removes the row records its loss in the same transaction.
package roster

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// Table is the table with one row for each instance, keyed by its name.
	Table = "instances"

	// minEjection and maxEjection bound how long an instance that did not reply is
	// not called. maxDoublings is where the ejection stops growing.
	minEjection  = 500 * time.Millisecond
	maxEjection  = 2 * time.Second
	maxDoublings = 2
)

// Standings of instances, of which names are assigned to the highest.
const (
	// unlisted: the store has no row for this instance.
	unlisted standing = iota
	// departing: the instance is in a planned stop.
	departing
	staying
)

type (
	// standing orders the instances before their scores for a name.
	standing int

	// Entry is one instance.
	Entry struct {
		// Name is the instance's name in the settings.
		Name string `json:"name"`
		// Address is its peer address, as IP:port.
		Address       string `json:"address"`
		FailureDomain string `json:"failureDomain"`
		// Start identifies the incarnation of the instance.
		Start int64 `json:"start"`
		// Since is when the row was written first, in Unix milliseconds.
		Since int64 `json:"since,omitempty"`
		// Leaving is set during a planned stop: the instance still answers, but is
		// not the first for any name.
		Leaving bool `json:"leaving,omitempty"`
		// Epoch numbers the rows that the incarnation has written, each of which names the
		// instances that are its witnesses.
		Epoch     int64    `json:"epoch,omitempty"`
		Witnesses []string `json:"witnesses,omitempty"`
	}

	// Roster is this instance's copy of the list. It is safe for concurrent use.
	Roster struct {
		self Entry
		mu   sync.RWMutex
		// epoch is that of the last row that this incarnation wrote.
		epoch   int64
		entries map[string]Entry
		others  []Entry
		// listed is set while the store has a row for this instance's name. Without
		// one the others don't count on it, so it must not act for a name that all
		// instances assign alike.
		listed bool
		// leaving is set while that row says so.
		leaving bool
		// listedAt is when this instance was listed, changedAt when names were last
		// assigned anew; departures are the instances that names moved away from.
		listedAt   time.Duration
		changedAt  time.Duration
		departures []departure
		// earlier are the processes that were listed when this instance was, by holder
		// name.
		earlier map[string]bool
		// losses are the processes that were lost, by the keys of their rows.
		losses   map[string]Loss
		failures map[string]failure
		// ranks caches this instance's ranks by name, and leaders the first instances
		// by name, until the list changes.
		ranks   map[string]int
		leaders map[string][]Entry
	}

	failure struct {
		start int64
		first time.Duration
		last  time.Duration
		// until is when the ejection ends, after rounds consecutive ones.
		until  time.Duration
		rounds int
	}
)

// NewRoster returns a roster that contains only this instance.
func NewRoster(self Entry) *Roster {
	return &Roster{
		self:     self,
		entries:  map[string]Entry{self.Name: self},
		losses:   make(map[string]Loss),
		failures: make(map[string]failure),
		ranks:    make(map[string]int),
		leaders:  make(map[string][]Entry),
	}
}

// Self returns this instance's entry.
func (r *Roster) Self() Entry { return r.self }

// ReadRow reads the row of an instance, with version 0 if there is none.
func ReadRow(ctx context.Context, store rows.Store, name string) (rows.Row, error) {
	page, err := store.Range(ctx, rows.Query{Table: Table, From: name, To: name + "\x00", Limit: 1})
	if err != nil || len(page.Rows) == 0 {
		return rows.Row{}, err
	}
	return page.Rows[0], nil
}

// Departure returns the transaction that marks this instance as leaving in its row.
// It does nothing once the row was removed or written again, however late it comes.
func (r *Roster) Departure(row rows.Row) (rows.Txn, error) {
	e, err := Decode(row)
	if err != nil {
		return rows.Txn{}, err
	}
	e.Leaving = true
	value, err := json.Marshal(e)
	if err != nil {
		return rows.Txn{}, err
	}
	return rows.Txn{
		Expect: []rows.Expectation{{ID: row.ID, Version: row.Version}},
		Writes: []rows.Write{{ID: row.ID, Value: value}},
	}, nil
}

// Set adds or replaces an entry and reports whether that changes the list. This
// instance's own keeps its values.
func (r *Roster) Set(e Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Name == r.self.Name {
		leaving := r.isLeaving(e)
		changed := !r.listed || r.leaving != leaving
		r.setOwn(true, leaving)
		return changed
	}
	old, known := r.entries[e.Name]
	if known && old.equal(e) {
		return false
	}
	if known && old.assignedLike(e) {
		r.entries[e.Name] = e
		i := slices.IndexFunc(r.others, func(o Entry) bool { return o.Name == e.Name })
		r.others = slices.Clone(r.others)
		r.others[i] = e
		return true
	}
	if known && e.Leaving && !old.Leaving {
		r.depart(e.Name)
	}
	r.entries[e.Name] = e
	r.rebuild()
	return true
}

func (e Entry) equal(other Entry) bool {
	return e.assignedLike(other) && e.Epoch == other.Epoch && slices.Equal(e.Witnesses, other.Witnesses)
}

// assignedLike reports whether the entries differ in their witnesses only, so that no name is
// assigned anew.
func (e Entry) assignedLike(other Entry) bool {
	return e.Name == other.Name && e.Address == other.Address && e.FailureDomain == other.FailureDomain &&
		e.Start == other.Start && e.Since == other.Since && e.Leaving == other.Leaving
}

// setOwn records what the store's row says of this instance. The caller holds the lock.
func (r *Roster) setOwn(listed, leaving bool) {
	if listed == r.listed && leaving == r.leaving {
		return
	}
	r.changedAt = common.Uptime()
	if listed && !r.listed {
		r.listedAt = r.changedAt
		r.earlier = make(map[string]bool, len(r.entries))
		for _, e := range r.entries {
			r.earlier[e.HolderName()] = true
		}
	}
	r.listed, r.leaving = listed, leaving
}

// isLeaving reports whether the entry marks this incarnation as leaving, rather than
// an earlier one.
func (r *Roster) isLeaving(own Entry) bool { return own.Leaving && own.Start == r.self.Start }

// Listed reports whether the store has this instance's row.
func (r *Roster) Listed() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.listed
}

// MarkListed records that the store has this instance's row.
func (r *Roster) MarkListed() { r.Set(r.self) }

// MarkLeaving records that the store's row marks this instance as leaving.
func (r *Roster) MarkLeaving() {
	e := r.self
	e.Leaving = true
	r.Set(e)
}

// Remove removes an instance. It returns true if it is this instance, which must
// then register again.
func (r *Roster) Remove(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == r.self.Name {
		r.setOwn(false, false)
		return true
	}
	if _, known := r.entries[name]; known {
		r.depart(name)
	}
	delete(r.entries, name)
	delete(r.failures, name)
	r.rebuild()
	return false
}

// Replace replaces all entries but this instance's own.
func (r *Roster) Replace(entries []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := maps.Clone(r.entries)
	clear(r.entries)
	for _, e := range entries {
		r.entries[e.Name] = e
	}
	own, listed := r.entries[r.self.Name]
	r.setOwn(listed, r.isLeaving(own))
	r.entries[r.self.Name] = r.self
	for name, old := range before {
		if e, known := r.entries[name]; !known || e.Leaving && !old.Leaving {
			r.depart(name)
		}
	}
	r.rebuild()
}

func (r *Roster) rebuild() {
	r.changedAt = common.Uptime()
	r.others = make([]Entry, 0, len(r.entries))
	for name, e := range r.entries {
		if name != r.self.Name {
			r.others = append(r.others, e)
		}
	}
	slices.SortFunc(r.others, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	clear(r.ranks)
	clear(r.leaders)
}

// Others returns the peers, sorted by name. The slice is shared and must not be
// changed.
func (r *Roster) Others() []Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.others
}

// Len returns the number of instances, including this one.
func (r *Roster) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.entries)
}

// Find returns the entry of the instance with the name.
func (r *Roster) Find(name string) (Entry, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	e, ok := r.entries[name]
	return e, ok
}

// Leaders returns the first n instances in rendezvous order for the name, highest
// score first. Every instance with the same list computes the same order. The
// slice is shared and must not be changed.
func (r *Roster) Leaders(name string, n int) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	n = min(n, len(r.entries))
	leaders, ok := r.leaders[name]
	if !ok || len(leaders) < n {
		leaders = slices.Clone(r.rank(name)[:n])
		r.leaders[name] = leaders
	}
	return leaders[:n]
}

func (r *Roster) rank(name string) []Entry {
	type scored struct {
		Entry
		score uint64
	}
	scores := make([]scored, 0, len(r.entries))
	for _, e := range r.entries {
		scores = append(scores, scored{Entry: e, score: common.RendezvousScore(e.Name, name)})
	}
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]Entry, 0, len(scores))
	for _, s := range scores {
		ranked = append(ranked, s.Entry)
	}
	return ranked
}

// First returns the instance that the name is assigned to: the first one in
// rendezvous order that is not leaving, or the first one if all are.
func (r *Roster) First(name string) Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	first, best, highest := r.self, unlisted, uint64(0)
	if r.listed {
		best, highest = standingOf(r.leaving), common.RendezvousScore(r.self.Name, name)
	}
	for _, e := range r.others {
		s := standingOf(e.Leaving)
		if s < best {
			continue
		}
		if score := common.RendezvousScore(e.Name, name); s > best || score > highest {
			first, best, highest = e, s, score
		}
	}
	return first
}

func standingOf(leaving bool) standing {
	if leaving {
		return departing
	}
	return staying
}

// Rank returns this instance's rank in rendezvous order for the name, and the
// number of instances. An instance that isn't listed comes last. It caches the
// ranks of all names, so that requests don't score the whole list.
func (r *Roster) Rank(name string) (rank, instances int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.listed && len(r.others) > 0 {
		return len(r.entries), len(r.entries)
	}
	rank, ok := r.ranks[name]
	if !ok {
		own := common.RendezvousScore(r.self.Name, name)
		for _, e := range r.others {
			if common.RendezvousScore(e.Name, name) > own {
				rank++
			}
		}
		r.ranks[name] = rank
	}
	return rank, len(r.entries)
}

// MarkReachable records that the instance replied to a call.
func (r *Roster) MarkReachable(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failures, name)
}

// MarkFailed records that the instance did not reply to a call.
func (r *Roster) MarkFailed(name string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.failures[name]
	if !ok || f.start != r.entries[name].Start {
		f = failure{start: r.entries[name].Start, first: now}
	}
	f.last = now
	if now >= f.until {
		f.until = now + min(minEjection<<min(f.rounds, maxDoublings), maxEjection)
		f.rounds++
	}
	r.failures[name] = f
}

// SeemsGone reports whether the instance has ended or stands still, rather than being slow: all
// calls have failed for longer than after. A connection that is refused tells less, since an
// instance that has started again is dialled late.
func (r *Roster) SeemsGone(name string, now, after time.Duration) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f, ok := r.failures[name]
	return ok && f.start == r.entries[name].Start && now-f.first > after
}

// Ejected reports whether the instance is not called now, since it did not reply. The
// ejection doubles with each call after it that fails too.
func (r *Roster) Ejected(name string, now time.Duration) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f, ok := r.failures[name]
	return ok && f.start == r.entries[name].Start && now < f.until
}

// Unreachable returns the instances whose calls have all failed for longer than after,
// the last one within that time.
func (r *Roster) Unreachable(now, after time.Duration) []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var names []string
	for name, f := range r.failures {
		if e, ok := r.entries[name]; ok && e.Start == f.start && f.last-f.first > after && now-f.last < after {
			names = append(names, name)
		}
	}
	return names
}

// Decode decodes a row of the table. It returns an error if the row names no
// instance.
func Decode(row rows.Row) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(row.Value, &e); err != nil {
		return Entry{}, errors.Trace(err)
	}
	e.Name = row.Key
	address, err := netip.ParseAddrPort(e.Address)
	switch {
	case err != nil:
		return Entry{}, errors.Trace(err)
	case address.Port() == 0 || e.Name == "":
		return Entry{}, errors.Errorf("no instance: name %q, address %q", e.Name, e.Address)
	default:
		return e, nil
	}
}

func rowID(name string) rows.ID { return rows.ID{Table: Table, Key: name} }
