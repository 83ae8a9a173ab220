package conf

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

type (
	// Change is a difference between two texts, for display.
	Change struct {
		// Subject is the changed object, such as "service fitting".
		Subject string `json:"subject"`
		// Message describes the change.
		Message string `json:"message"`
	}

	// serviceUpstream is an upstream with the name of its service.
	serviceUpstream struct {
		Upstream

		service string
	}

	// differ collects changes.
	differ struct {
		changes []Change
	}
)

// String returns the change as one line.
func (c Change) String() string { return c.Subject + ": " + c.Message }

// Diff returns the changes from the older text to the newer one: services,
// upstreams, teams, then all others. The order of list elements is ignored.
func Diff(older, newer Text) []Change {
	d := &differ{}
	diffNamed(d, "service ", older.Services, newer.Services, func(s Service) string { return s.Name }, d.compareService)
	diffNamed(d, "upstream ", listUpstreams(older), listUpstreams(newer), func(u serviceUpstream) string { return u.Name }, d.compareUpstream)
	diffNamed(d, "team ", older.Teams, newer.Teams, func(t Team) string { return t.Name }, d.compareTeam)
	d.compareNames("failure domains", "listed", "no longer listed", older.FailureDomains, newer.FailureDomains)
	d.compareNames("failure domains", "taken out", "brought back", older.DomainsOut, newer.DomainsOut)
	d.compareValue("weight store", "loadsPerMinute", older.WeightStore.LoadsPerMinute, newer.WeightStore.LoadsPerMinute)
	return d.changes
}

// diffNamed compares two lists of named elements, in the order of their names.
func diffNamed[E any](d *differ, noun string, older, newer []E, name func(E) string, compare func(subject string, a, b E)) {
	before, after := byName(older, name), byName(newer, name)
	for _, n := range sortedNames(before, after) {
		a, existed := before[n]
		b, exists := after[n]
		switch {
		case !existed:
			d.add(noun+n, "added")
		case !exists:
			d.add(noun+n, "removed")
		default:
			compare(noun+n, a, b)
		}
	}
}

func byName[E any](list []E, name func(E) string) map[string]E {
	m := make(map[string]E, len(list))
	for _, e := range list {
		m[name(e)] = e
	}
	return m
}

// sortedNames returns the sorted union of the maps' names.
func sortedNames[E any](a, b map[string]E) []string {
	names := make([]string, 0, len(a)+len(b))
	for n := range a {
		names = append(names, n)
	}
	for n := range b {
		names = append(names, n)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// listUpstreams returns the text's upstreams with the names of their services.
func listUpstreams(t Text) []serviceUpstream {
	var list []serviceUpstream
	for _, s := range t.Services {
		for _, u := range s.Upstreams {
			list = append(list, serviceUpstream{Upstream: u, service: s.Name})
		}
	}
	return list
}

func (d *differ) add(subject, message string) {
	d.changes = append(d.changes, Change{Subject: subject, Message: message})
}

// compareValue adds a change if the values of a field differ.
func (d *differ) compareValue(subject, field string, a, b any) {
	if reflect.DeepEqual(a, b) {
		return
	}
	d.add(subject, fmt.Sprintf("%s %v -> %v", field, a, b))
}

// compareNames adds one change for the names added to a list and one for those
// removed.
func (d *differ) compareNames(subject, addedLabel, removedLabel string, a, b []string) {
	if added := difference(b, a); len(added) > 0 {
		d.add(subject, addedLabel+": "+strings.Join(added, ", "))
	}
	if removed := difference(a, b); len(removed) > 0 {
		d.add(subject, removedLabel+": "+strings.Join(removed, ", "))
	}
}

// difference returns the names that are in list but not in other.
func difference(list, other []string) []string {
	var remaining []string
	for _, n := range list {
		if !slices.Contains(other, n) {
			remaining = append(remaining, n)
		}
	}
	return remaining
}

func (d *differ) compareService(subject string, a, b Service) {
	d.compareValue(subject, "kind", a.Kind, b.Kind)
	d.compareValue(subject, "timeoutSeconds", a.TimeoutSeconds, b.TimeoutSeconds)
	if a.Credential != b.Credential {
		d.add(subject, "credential changed")
	}
	d.compareNames(subject, "models added", "models removed", a.Models, b.Models)
	d.compareNames(subject, "now depends on", "no longer depends on", a.DependsOn, b.DependsOn)
	path := func(r Route) string { return r.Path }
	diffNamed(d, subject+" route ", a.Routes, b.Routes, path, d.compareRoute)
}

func (d *differ) compareRoute(subject string, a, b Route) {
	d.compareValue(subject, "repeatable", a.Repeatable, b.Repeatable)
	d.compareValue(subject, "openToAll", a.OpenToAll, b.OpenToAll)
}

func (d *differ) compareUpstream(subject string, a, b serviceUpstream) {
	if a.service != b.service {
		d.add(subject, fmt.Sprintf("moved from service %s to %s", a.service, b.service))
	}
	if a.FailureDomain != b.FailureDomain {
		d.add(subject, fmt.Sprintf("moved from failure domain %s to %s", a.FailureDomain, b.FailureDomain))
	}
	d.compareValue(subject, "address", a.Address, b.Address)
	d.compareValue(subject, "slots", a.Slots, b.Slots)
	d.compareValue(subject, "coldSlots", a.ColdSlots, b.ColdSlots)
	d.compareValue(subject, "cacheTokens", a.CacheTokens, b.CacheTokens)
	d.compareValue(subject, "checksFence", a.ChecksFence, b.ChecksFence)
}

func (d *differ) compareTeam(subject string, a, b Team) {
	d.compareValue(subject, "grant ratePerSecond", a.RatePerSecond, b.RatePerSecond)
	d.compareValue(subject, "grant burst", a.Burst, b.Burst)
	d.compareValue(subject, "budget calls", a.Budget.Calls, b.Budget.Calls)
	d.compareValue(subject, "budget tokens", a.Budget.Tokens, b.Budget.Tokens)
	d.compareValue(subject, "budget seconds", a.Budget.Seconds, b.Budget.Seconds)
	if (len(a.Services) == 0) != (len(b.Services) == 0) {
		d.compareValue(subject, "may call", grantText(a), grantText(b))
		return
	}
	d.compareNames(subject, "may now call", "may no longer call", a.Services, b.Services)
}

// grantText returns the services that a team may call, for display.
func grantText(t Team) string {
	if len(t.Services) == 0 {
		return "all services"
	}
	return strings.Join(t.Services, ", ")
}
