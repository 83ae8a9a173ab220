package conf

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

type (
	// Change is one difference between two texts, for people.
	Change struct {
		// Subject is what changed, such as "service fitting".
		Subject string `json:"subject"`
		// Message says how it changed.
		Message string `json:"message"`
	}

	// placedUpstream is an upstream together with its service.
	placedUpstream struct {
		Upstream

		service string
	}

	// differ gathers changes.
	differ struct {
		changes []Change
	}
)

// String returns the change as one line.
func (c Change) String() string { return c.Subject + ": " + c.Message }

// Diff returns what differs from the older text to the newer one, by subject:
// services, upstreams, teams, then the rest. The order of lists doesn't count.
func Diff(older, newer Text) []Change {
	d := &differ{}
	diffNamed(d, "service ", older.Services, newer.Services, func(s Service) string { return s.Name }, d.service)
	diffNamed(d, "upstream ", placed(older), placed(newer), func(u placedUpstream) string { return u.Name }, d.upstream)
	diffNamed(d, "team ", older.Teams, newer.Teams, func(t Team) string { return t.Name }, d.team)
	d.names("failure domains", "listed", "no longer listed", older.FailureDomains, newer.FailureDomains)
	d.names("failure domains", "taken out", "brought back", older.DomainsOut, newer.DomainsOut)
	d.value("weight store", "loadsPerMinute", older.WeightStore.LoadsPerMinute, newer.WeightStore.LoadsPerMinute)
	return d.changes
}

// diffNamed walks two lists of named things in the order of their names.
func diffNamed[E any](d *differ, noun string, older, newer []E, name func(E) string, compare func(subject string, a, b E)) {
	before, after := byName(older, name), byName(newer, name)
	for _, n := range sortedNames(before, after) {
		a, was := before[n]
		b, is := after[n]
		switch {
		case !was:
			d.add(noun+n, "added")
		case !is:
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

// sortedNames returns the names of either map, sorted.
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

// placed lists a text's upstreams with their services.
func placed(t Text) []placedUpstream {
	var list []placedUpstream
	for _, s := range t.Services {
		for _, u := range s.Upstreams {
			list = append(list, placedUpstream{Upstream: u, service: s.Name})
		}
	}
	return list
}

func (d *differ) add(subject, message string) {
	d.changes = append(d.changes, Change{Subject: subject, Message: message})
}

// value notes a field whose value differs.
func (d *differ) value(subject, field string, a, b any) {
	if reflect.DeepEqual(a, b) {
		return
	}
	d.add(subject, fmt.Sprintf("%s %v -> %v", field, a, b))
}

// names notes the names that came into a list and those that left it.
func (d *differ) names(subject, came, left string, a, b []string) {
	if added := without(b, a); len(added) > 0 {
		d.add(subject, came+": "+strings.Join(added, ", "))
	}
	if removed := without(a, b); len(removed) > 0 {
		d.add(subject, left+": "+strings.Join(removed, ", "))
	}
}

// without returns the names of list that other lacks.
func without(list, other []string) []string {
	var rest []string
	for _, n := range list {
		if !slices.Contains(other, n) {
			rest = append(rest, n)
		}
	}
	return rest
}

func (d *differ) service(subject string, a, b Service) {
	d.value(subject, "kind", a.Kind, b.Kind)
	d.value(subject, "timeoutSeconds", a.TimeoutSeconds, b.TimeoutSeconds)
	if a.Credential != b.Credential {
		d.add(subject, "credential changed")
	}
	d.names(subject, "models added", "models removed", a.Models, b.Models)
	d.names(subject, "now depends on", "no longer depends on", a.DependsOn, b.DependsOn)
	path := func(r Route) string { return r.Path }
	diffNamed(d, subject+" route ", a.Routes, b.Routes, path, d.route)
}

func (d *differ) route(subject string, a, b Route) {
	d.value(subject, "repeatable", a.Repeatable, b.Repeatable)
	d.value(subject, "openToAll", a.OpenToAll, b.OpenToAll)
}

func (d *differ) upstream(subject string, a, b placedUpstream) {
	if a.service != b.service {
		d.add(subject, fmt.Sprintf("moved from service %s to %s", a.service, b.service))
	}
	if a.FailureDomain != b.FailureDomain {
		d.add(subject, fmt.Sprintf("moved from failure domain %s to %s", a.FailureDomain, b.FailureDomain))
	}
	d.value(subject, "address", a.Address, b.Address)
	d.value(subject, "slots", a.Slots, b.Slots)
	d.value(subject, "coldSlots", a.ColdSlots, b.ColdSlots)
	d.value(subject, "cacheTokens", a.CacheTokens, b.CacheTokens)
	d.value(subject, "checksFence", a.ChecksFence, b.ChecksFence)
}

func (d *differ) team(subject string, a, b Team) {
	d.value(subject, "grant ratePerSecond", a.RatePerSecond, b.RatePerSecond)
	d.value(subject, "grant burst", a.Burst, b.Burst)
	d.value(subject, "budget calls", a.Budget.Calls, b.Budget.Calls)
	d.value(subject, "budget tokens", a.Budget.Tokens, b.Budget.Tokens)
	d.value(subject, "budget seconds", a.Budget.Seconds, b.Budget.Seconds)
	if (len(a.Services) == 0) != (len(b.Services) == 0) {
		d.value(subject, "may call", grantText(a), grantText(b))
		return
	}
	d.names(subject, "may now call", "may no longer call", a.Services, b.Services)
}

// grantText names the services that a team may call.
func grantText(t Team) string {
	if len(t.Services) == 0 {
		return "all services"
	}
	return strings.Join(t.Services, ", ")
}
