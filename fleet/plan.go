package fleet

import (
	"cmp"
	"slices"
)

type (
	// candidate is an instance that may hold seats.
	candidate struct {
		name   string
		domain string
		hash   uint64
		held   int
		target int
	}

	// seatPlan says how many seats each candidate should hold. It follows from
	// the members and the rows alone, so instances that see the same make the
	// same plan.
	slotPlan struct {
		targets map[string]int
	}
)

// planSeats deals the seats over the failure domains in turn, and within one
// over its instances, first to those that hold seats already. No instance
// gets more than its fair share rounded up, so that neither an instance nor a
// failure domain takes a majority down with it where there are enough others.
func planSlots(candidates []candidate) slotPlan {
	plan := slotPlan{targets: make(map[string]int, SeatCount)}
	if len(candidates) == 0 {
		return plan
	}
	domains := groupByDomain(candidates)
	share := (SeatCount + len(candidates) - 1) / len(candidates)
	left := SeatCount
	for left > 0 {
		dealt := 0
		for _, d := range domains {
			c := leastAssigned(d, share)
			if c == nil || left == 0 {
				continue
			}
			c.target++
			left--
			dealt++
		}
		if dealt == 0 {
			break
		}
	}
	for i := range candidates {
		if candidates[i].target > 0 {
			plan.targets[candidates[i].name] = candidates[i].target
		}
	}
	return plan
}

// domainsOf groups the candidates by failure domain, those with seats first.
// Domains whose instances hold more seats come first, which keeps seats where
// they are when 16 cannot be divided evenly.
func groupByDomain(candidates []candidate) [][]*candidate {
	byName := make(map[string][]*candidate)
	held := make(map[string]int)
	for i := range candidates {
		c := &candidates[i]
		byName[c.domain] = append(byName[c.domain], c)
		held[c.domain] += c.held
	}
	names := make([]string, 0, len(byName))
	for name, group := range byName {
		names = append(names, name)
		slices.SortFunc(group, func(a, b *candidate) int {
			return cmp.Or(cmp.Compare(b.held, a.held), cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
		})
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(held[b], held[a]), cmp.Compare(a, b))
	})
	domains := make([][]*candidate, 0, len(names))
	for _, name := range names {
		domains = append(domains, byName[name])
	}
	return domains
}

// nextCandidate returns the candidate of a domain that has been dealt the
// fewest seats, or nil if all have their share.
func leastAssigned(domain []*candidate, share int) *candidate {
	var best *candidate
	for _, c := range domain {
		if c.target < share && (best == nil || c.target < best.target) {
			best = c
		}
	}
	return best
}
