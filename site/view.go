package site

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"strings"
)

// View is an immutable snapshot of the deployment.
type View struct {
	// Version is the configuration's version, 0 before the first is loaded.
	Version int64
	// Limits are those of the configuration.
	Limits       Limits
	routesByHost map[string][]*Route
	services     map[string]*Service
	teamsByKey   map[string]*Team
	teams        map[string]*Team
	pools        map[string][]*Upstream
	excluded     map[string]bool
	// resumable are the services of resumable streams.
	resumable []string
}

// NewView indexes a configuration, the upstreams in any order and the excluded
// failure domains. The configuration may be nil.
func NewView(config *Config, upstreams []*Upstream, excluded map[string]bool) *View {
	v := &View{
		routesByHost: make(map[string][]*Route),
		services:     make(map[string]*Service),
		teamsByKey:   make(map[string]*Team),
		teams:        make(map[string]*Team),
		pools:        make(map[string][]*Upstream),
		excluded:     excluded,
	}
	v.indexConfig(config)
	for _, u := range upstreams {
		v.pools[u.Service] = append(v.pools[u.Service], u)
	}
	for _, pool := range v.pools {
		slices.SortFunc(pool, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}

// WithUpstreams returns a view with the same configuration and the given upstreams
// and excluded failure domains.
func (v *View) WithUpstreams(upstreams []*Upstream, excluded map[string]bool) *View {
	n := NewView(nil, upstreams, excluded)
	n.Version, n.Limits = v.Version, v.Limits
	n.routesByHost, n.services, n.teamsByKey, n.teams, n.resumable = v.routesByHost, v.services, v.teamsByKey, v.teams, v.resumable
	return n
}

func (v *View) indexConfig(config *Config) {
	if config == nil {
		return
	}
	v.Version, v.Limits = config.Version, config.Limits
	for i := range config.Routes {
		r := &config.Routes[i]
		v.routesByHost[r.Host] = append(v.routesByHost[r.Host], r)
		v.indexResumable(r)
	}
	for _, routes := range v.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range config.Services {
		v.services[config.Services[i].Name] = &config.Services[i]
	}
	for i := range config.Teams {
		t := &config.Teams[i]
		v.teams[t.Name] = t
		for _, key := range t.Keys {
			v.teamsByKey[key] = t
		}
	}
}

func (v *View) indexResumable(r *Route) {
	if !r.ResumableStream() {
		return
	}
	for _, target := range r.Targets {
		if !slices.Contains(v.resumable, target.Service) {
			v.resumable = append(v.resumable, target.Service)
		}
	}
}

// ResumableServices returns the names of the services of resumable streams. The slice
// is shared and must not be changed.
func (v *View) ResumableServices() []string { return v.resumable }

// Route returns the host's route with the longest prefix of the path, or nil. The
// host may include a port.
func (v *View) Route(host, path string) *Route {
	routes, ok := v.routesByHost[host]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			routes = v.routesByHost[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the named service, or nil.
func (v *View) Service(name string) *Service { return v.services[name] }

// TeamOfKey returns the team that holds the key, or nil.
func (v *View) TeamOfKey(key string) *Team { return v.teamsByKey[key] }

// Team returns the named team, or nil.
func (v *View) Team(name string) *Team { return v.teams[name] }

// TeamCount returns the number of teams.
func (v *View) TeamCount() int { return len(v.teams) }

// Pool returns the service's upstreams by ascending ID.
func (v *View) Pool(service string) []*Upstream { return v.pools[service] }

// Upstream returns the service's upstream with the ID, or nil.
func (v *View) Upstream(service, id string) *Upstream {
	pool := v.pools[service]
	i, ok := slices.BinarySearchFunc(pool, id, func(u *Upstream, id string) int { return cmp.Compare(u.ID, id) })
	if !ok {
		return nil
	}
	return pool[i]
}

// Upstreams returns all upstreams by service and ascending ID.
func (v *View) Upstreams() []*Upstream {
	var all []*Upstream
	for _, service := range slices.Sorted(maps.Keys(v.pools)) {
		all = append(all, v.pools[service]...)
	}
	return all
}

// ExcludedDomains returns the failure domains that are excluded from new requests. The
// map is shared and must not be changed.
func (v *View) ExcludedDomains() map[string]bool { return v.excluded }

// DomainExcluded reports whether the failure domain is excluded from new requests.
func (v *View) DomainExcluded(domain string) bool { return v.excluded[domain] }
