package conf

import "slices"

// Service returns the service with the name.
func (t Text) Service(name string) (Service, bool) {
	return find(t.Services, func(s Service) bool { return s.Name == name })
}

// Model returns the service whose upstreams serve the model.
func (t Text) Model(name string) (Service, bool) {
	return find(t.Services, func(s Service) bool { return slices.Contains(s.Models, name) })
}

// Team returns the team with the name.
func (t Text) Team(name string) (Team, bool) {
	return find(t.Teams, func(m Team) bool { return m.Name == name })
}

// Upstream returns the upstream with the name and its service.
func (t Text) Upstream(name string) (Upstream, Service, bool) {
	for _, s := range t.Services {
		u, ok := find(s.Upstreams, func(u Upstream) bool { return u.Name == name })
		if ok {
			return u, s, true
		}
	}
	return Upstream{}, Service{}, false
}

// DomainOut reports whether the failure domain is taken out of service.
func (t Text) DomainOut(name string) bool { return slices.Contains(t.DomainsOut, name) }

// Domains returns the failure domains that the text defines, sorted.
func (t Text) Domains() []string {
	domains := slices.Clone(t.FailureDomains)
	if len(domains) == 0 {
		for _, s := range t.Services {
			for _, u := range s.Upstreams {
				domains = append(domains, u.FailureDomain)
			}
		}
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// MayCall reports whether the team is allowed to call the service.
func (t Team) MayCall(service string) bool {
	return len(t.Services) == 0 || slices.Contains(t.Services, service)
}

// Route returns the route with the longest path that is a prefix of the request
// path. Only complete segments match.
func (s Service) Route(requestPath string) (Route, bool) {
	var best Route
	found := false
	for _, r := range s.Routes {
		if r.covers(requestPath) && (!found || len(r.Path) > len(best.Path)) {
			best, found = r, true
		}
	}
	return best, found
}

// covers reports whether the route's path is the request's path or a parent of
// it.
func (r Route) covers(requestPath string) bool {
	n := len(r.Path)
	if len(requestPath) < n || requestPath[:n] != r.Path {
		return false
	}
	return len(requestPath) == n || r.Path[n-1] == '/' || requestPath[n] == '/'
}

// find returns the first element that matches.
func find[E any](list []E, match func(E) bool) (E, bool) {
	i := slices.IndexFunc(list, match)
	if i < 0 {
		var none E
		return none, false
	}
	return list[i], true
}
