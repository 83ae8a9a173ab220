package roster

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// lossPrefix begins the keys of losses in the table of instances.
	lossPrefix = "lost/"
	// lossTTL is how long a loss counts for programs.
	lossTTL = 10 * time.Minute
	// maxExpired bounds the old losses that one registration removes.
	maxExpired = 20
	// homeRanks is how many instances of a name's order may have been its home, if
	// those before them were away.
	homeRanks = 3
	// outageMargin is the time around the end of an outage within which instances find
	// the store reachable again.
	outageMargin = 3 * time.Second
	// outageGap is the time between losses from which they are of different outages: an
	// instance that starts after one grants nothing before it has read the store.
	outageGap = 2 * time.Second
	// departureTTL is how long departures are remembered.
	departureTTL = time.Minute
)

type (
	// Loss is a process that has ended, or was given up, although it may have granted
	// what no other process knows.
	Loss struct {
		Entry
		// At is when the loss was noticed, OutageEnd the last time at which the store may
		// have been unreachable, both in Unix milliseconds.
		At        int64 `json:"at"`
		OutageEnd int64 `json:"outageEnd"`
	}

	// departure is an instance that names may have moved away from.
	departure struct {
		name string
		at   time.Duration
	}
)

// HolderName returns the name of one incarnation of an instance.
func (e Entry) HolderName() string { return e.Name + "#" + strconv.FormatInt(e.Start, 10) }

// Registration returns the transaction that adds this instance to the list with new
// witnesses, in place of the row that it has there, which has version 0 if there is none,
// and its entry. If lost is set, the process of that row is recorded as lost.
func (r *Roster) Registration(row rows.Row, lost *Loss) (rows.Txn, Entry, error) {
	own := r.self
	own.Since = time.Now().UnixMilli()
	if e, err := Decode(row); err == nil && e.Start == own.Start {
		own.Since, own.Leaving = e.Since, e.Leaving
	}
	own.Epoch, own.Witnesses = r.nextEpoch(), r.chooseWitnesses()
	value, err := json.Marshal(own)
	if err != nil {
		return rows.Txn{}, Entry{}, errors.Trace(err)
	}
	txn := rows.Txn{
		Expect:  []rows.Expectation{{ID: rowID(own.Name), Version: row.Version}},
		Writes:  []rows.Write{{ID: rowID(own.Name), Value: value}},
		Removes: r.expiredLosses(),
	}
	txn, err = addLoss(txn, lost)
	return txn, own, err
}

// Removal returns the transaction that removes this instance from the list at the end of
// a planned stop. It returns false for the row of an earlier process, whose loss is recorded
// by whoever replaces or removes it.
func (r *Roster) Removal(row rows.Row) (rows.Txn, bool) {
	e, err := Decode(row)
	if err != nil || e.Start != r.self.Start {
		return rows.Txn{}, false
	}
	return rows.Txn{
		Expect:  []rows.Expectation{{ID: row.ID, Version: row.Version}},
		Removes: []rows.ID{row.ID},
	}, true
}

// RemovalOf returns the transaction that removes the row of another instance, unless that
// has been written again. If lost is set, its process is recorded as lost.
func (r *Roster) RemovalOf(row rows.Row, lost *Loss) (rows.Txn, error) {
	return addLoss(rows.Txn{
		Expect:  []rows.Expectation{{ID: row.ID, Version: row.Version}},
		Removes: []rows.ID{row.ID},
	}, lost)
}

func addLoss(txn rows.Txn, lost *Loss) (rows.Txn, error) {
	if lost == nil {
		return txn, nil
	}
	value, err := json.Marshal(lost)
	if err != nil {
		return rows.Txn{}, errors.Trace(err)
	}
	txn.Writes = append(txn.Writes, rows.Write{ID: rowID(lossPrefix + lost.HolderName()), Value: value})
	return txn, nil
}

// NewLoss returns the loss of the entry's process, if the store has been reachable for
// the given time.
func NewLoss(e Entry, reached time.Duration) *Loss {
	now := time.Now()
	return &Loss{Entry: e, At: now.UnixMilli(), OutageEnd: now.Add(-reached).UnixMilli()}
}

// IsLoss reports whether the row of the table is a loss instead of an instance.
func IsLoss(row rows.Row) bool { return strings.HasPrefix(row.Key, lossPrefix) }

// SetLoss adds a loss or, if its row was deleted, removes it.
func (r *Roster) SetLoss(row rows.Row) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if row.Deleted {
		delete(r.losses, row.Key)
		return nil
	}
	var l Loss
	if err := json.Unmarshal(row.Value, &l); err != nil {
		return errors.Trace(err)
	}
	r.losses[row.Key] = l
	return nil
}

func (r *Roster) expiredLosses() []rows.ID {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var found []rows.ID
	for key, l := range r.losses {
		if l.expired(time.Now()) && len(found) < maxExpired {
			found = append(found, rowID(key))
		}
	}
	return found
}

func (l Loss) expired(now time.Time) bool { return now.Sub(time.UnixMilli(l.At)) > lossTTL }

// LostProcess returns the loss of a process by its holder name.
func (r *Roster) LostProcess(holder string) (Loss, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	l, ok := r.losses[lossPrefix+holder]
	return l, ok
}

// Losses returns the lost processes that may have been the home of the name, those of each
// outage after one another. One of all of them at most has grants that no row has.
func (r *Roster) Losses(name string) []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if len(r.losses) == 0 {
		return nil
	}
	now := time.Now()
	var all []Loss
	for _, l := range r.losses {
		if !l.expired(now) {
			all = append(all, l)
		}
	}
	slices.SortFunc(all, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.HolderName(), b.HolderName()))
	})
	var homes []string
	for len(all) > 0 {
		n := 1
		for n < len(all) && all[n].At-all[n-1].At <= outageGap.Milliseconds() {
			n++
		}
		homes = append(homes, r.homesAmong(name, all[:n])...)
		all = all[n:]
	}
	return homes
}

// homesAmong returns those of the processes lost in one outage that may have been the
// home of the name.
func (r *Roster) homesAmong(name string, lost []Loss) []string {
	byName := make(map[string][]Loss)
	candidates := make(map[string]Entry, len(r.entries)+len(lost))
	for n, e := range r.entries {
		candidates[n] = e
	}
	end := lost[0].OutageEnd
	for _, l := range lost {
		byName[l.Name] = append(byName[l.Name], l)
		candidates[l.Name] = l.Entry
		end = min(end, l.OutageEnd)
	}
	ranked := make([]Entry, 0, len(candidates))
	for _, e := range candidates {
		ranked = append(ranked, e)
	}
	slices.SortFunc(ranked, func(a, b Entry) int {
		return cmp.Compare(common.RendezvousScore(b.Name, name), common.RendezvousScore(a.Name, name))
	})
	var homes []string
	for _, e := range ranked[:min(homeRanks, len(ranked))] {
		for _, l := range byName[e.Name] {
			homes = append(homes, l.HolderName())
		}
		if !e.Leaving && e.Since > 0 && e.Since < end-outageMargin.Milliseconds() {
			// It was there during the outage.
			break
		}
	}
	return homes
}

// PossibleHomes returns the instances that may be or have been the home of the name: the
// first ones in its order, and the one that it is assigned to.
func (r *Roster) PossibleHomes(name string) []Entry {
	first := r.First(name)
	r.mu.RLock()
	defer r.mu.RUnlock()
	homes := slices.Clone(r.rank(name)[:min(homeRanks, len(r.entries))])
	if !slices.ContainsFunc(homes, func(e Entry) bool { return e.Name == first.Name }) {
		homes = append(homes, first)
	}
	return homes
}

// EarlierHomes returns the other instances that may have been the home of the name before
// this one: the first ones in its order, of those that this one has not joined before or
// that leave.
func (r *Roster) EarlierHomes(name string) []Entry {
	var homes []Entry
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, e := range r.rank(name)[:min(homeRanks, len(r.entries))] {
		if e.Name != r.self.Name && (e.Leaving || r.earlier[e.HolderName()]) {
			homes = append(homes, e)
		}
	}
	return homes
}

// Earlier returns the other instances that were listed before this one, or that leave.
func (r *Roster) Earlier() []Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.DeleteFunc(slices.Clone(r.others), func(e Entry) bool { return !e.Leaving && !r.earlier[e.HolderName()] })
}

// depart records that names may have moved away from an instance. The caller holds the
// lock.
func (r *Roster) depart(name string) {
	now := common.Uptime()
	r.departures = slices.DeleteFunc(r.departures, func(d departure) bool { return now-d.at > departureTTL })
	r.departures = append(r.departures, departure{name: name, at: now})
}

// FirstSince returns since when the name has been assigned to this instance; ok is false
// if it isn't, or if the store doesn't list this instance.
func (r *Roster) FirstSince(name string) (since time.Duration, ok bool) {
	if r.First(name).Name != r.self.Name {
		return 0, false
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	own := common.RendezvousScore(r.self.Name, name)
	since = r.listedAt
	for _, d := range r.departures {
		if d.at > since && common.RendezvousScore(d.name, name) > own {
			since = d.at
		}
	}
	return since, r.listed
}

// ListedAt returns when the store's list last took this instance up.
func (r *Roster) ListedAt() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.listedAt
}

// ChangedAt returns when names were last assigned anew.
func (r *Roster) ChangedAt() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changedAt
}
