package roster

import (
	"cmp"
	"slices"

	"github.com/buckthorntide/buckthorntide/common"
)

const (
	// witnessPrefix begins the names by which the witnesses of instances are chosen.
	witnessPrefix = "witnesses/"
	// maxWitnesses is how many witnesses an instance has in a large fleet. Three of them
	// suffice for everything, so that two may be gone.
	maxWitnesses = 5
)

func (r *Roster) nextEpoch() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epoch++
	return r.epoch
}

// chooseWitnesses returns the names of the other instances that are this one's witnesses:
// from each failure domain in turn, the own one last, the first ones by rendezvous hashing.
func (r *Roster) chooseWitnesses() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	byDomain := make(map[string][]Entry)
	for _, e := range r.others {
		if !e.Leaving {
			byDomain[e.FailureDomain] = append(byDomain[e.FailureDomain], e)
		}
	}
	score := func(e Entry) uint64 { return common.RendezvousScore(e.Name, witnessPrefix+r.self.Name) }
	domains := make([][]Entry, 0, len(byDomain))
	for _, members := range byDomain {
		slices.SortFunc(members, func(a, b Entry) int { return cmp.Compare(score(b), score(a)) })
		domains = append(domains, members)
	}
	slices.SortFunc(domains, func(a, b []Entry) int {
		own := func(members []Entry) int {
			if members[0].FailureDomain == r.self.FailureDomain {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(own(a), own(b)), cmp.Compare(score(b[0]), score(a[0])))
	})
	var chosen []string
	for i := 0; len(chosen) < min(maxWitnesses, len(r.others)); i++ {
		found := false
		for _, members := range domains {
			if i < len(members) && len(chosen) < maxWitnesses {
				chosen = append(chosen, members[i].Name)
				found = true
			}
		}
		if !found {
			break
		}
	}
	return chosen
}

// WitnessesKnow reports whether half of the witnesses of a lost process at least have run since
// before it was lost, by the clocks of the instances, so that asking them may tell something.
func (r *Roster) WitnessesKnow(l Loss) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	know := 0
	for _, name := range l.Witnesses {
		if e, listed := r.entries[name]; listed && e.Since < l.At-outageMargin.Milliseconds() {
			know++
		}
	}
	return know > 0 && 2*know >= len(l.Witnesses)
}

// LacksWitnesses reports whether some of the given witnesses are not listed any more, or
// whether there could be more of them.
func (r *Roster) LacksWitnesses(names []string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	listed, staying := 0, 0
	for _, e := range r.others {
		if !e.Leaving {
			staying++
		}
		if slices.Contains(names, e.Name) {
			listed++
		}
	}
	return listed < min(maxWitnesses, max(staying, len(names)))
}
