package fleet

import (
	"cmp"
	"slices"
)

type (
	// candidate is an instance that may hold lease slots.
	candidate struct {
		name   string
		domain string
		hash   uint64
		held   int
		target int
	}

	// slotPlan is the number of slots that each candidate should hold. It depends
	// only on the members and the table rows, so instances with the same view
	// make the same plan.
	slotPlan struct {
		targets map[string]int
	}
)

// planSlots distributes the slots round-robin over the failure domains, and
// within a domain over its instances, those that hold slots first. No instance
// gets more than its fair share rounded up. So, given enough others, the loss of
// an instance or a failure domain never costs the majority.
func planSlots(candidates []candidate) slotPlan {
	plan := slotPlan{targets: make(map[string]int, LeaseSlotCount)}
	if len(candidates) == 0 {
		return plan
	}
	domains := groupByDomain(candidates)
	maxPerInstance := (LeaseSlotCount + len(candidates) - 1) / len(candidates)
	left := LeaseSlotCount
	for left > 0 {
		assigned := 0
		for _, d := range domains {
			c := leastAssigned(d, maxPerInstance)
			if c == nil || left == 0 {
				continue
			}
			c.target++
			left--
			assigned++
		}
		if assigned == 0 {
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

// groupByDomain groups the candidates by failure domain, those with the most
// slots first. Domains that hold more slots come first, so that slots stay where
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

// leastAssigned returns the candidate of a domain with the fewest assigned
// slots, or nil if all have maxPerInstance.
func leastAssigned(domain []*candidate, maxPerInstance int) *candidate {
	var best *candidate
	for _, c := range domain {
		if c.target < maxPerInstance && (best == nil || c.target < best.target) {
			best = c
		}
	}
	return best
}
