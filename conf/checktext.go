package conf

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

const (
	// maxNameBytes is the maximum length of a name, in bytes.
	maxNameBytes = 128

	unknownServiceFormat = "unknown service %q; the text lists no service of this name"
	mustBeAboveZero      = "must be above zero"
	mustBeOneOrMore      = "must be at least 1"
	mustNotBeNegative    = "must not be negative"
	mustBeIPPort         = "must be IP:port, such as 10.0.0.1:8080; host names are refused"
)

// checker validates a text and collects its faults.
type checker struct {
	*document
	text     Text
	services map[string]int
	domains  map[string]struct{}
}

// checkText adds a fault for each invalid value in the text.
func checkText(d *document, t Text) {
	c := &checker{
		document: d,
		text:     t,
		services: make(map[string]int, len(t.Services)),
		domains:  make(map[string]struct{}),
	}
	c.listDomains()
	c.checkNames()
	c.checkServices()
	c.checkModels()
	c.checkUpstreams()
	c.checkCycles()
	c.checkTeams()
	c.checkDomainsOut()
	c.checkNotNegative(root().member("weightStore").member("loadsPerMinute"), t.WeightStore.LoadsPerMinute)
}

// listDomains collects the failure domains that the text defines.
func (c *checker) listDomains() {
	for _, d := range c.text.FailureDomains {
		c.domains[d] = struct{}{}
	}
	if len(c.text.FailureDomains) > 0 {
		return
	}
	for _, s := range c.text.Services {
		for _, u := range s.Upstreams {
			c.domains[u.FailureDomain] = struct{}{}
		}
	}
}

// checkNames validates the names of the failure domains and services.
func (c *checker) checkNames() {
	domains := make(map[string]struct{}, len(c.text.FailureDomains))
	for i, name := range c.text.FailureDomains {
		c.checkName(root().member("failureDomains").element(i), name, domains)
	}
	names := make(map[string]struct{}, len(c.text.Services))
	for i, s := range c.text.Services {
		c.checkName(root().member("services").element(i).member("name"), s.Name, names)
		if _, ok := c.services[s.Name]; !ok {
			c.services[s.Name] = i
		}
	}
}

// checkName adds a fault if the name is missing, not printable or already in
// seen, and adds the name to seen.
func (c *checker) checkName(p *path, name string, seen map[string]struct{}) {
	if fault := nameFault(name); fault != "" {
		c.fault(p, fault)
		return
	}
	if _, repeated := seen[name]; repeated {
		c.fault(p, fmt.Sprintf("the name %q is given twice", name))
	}
	seen[name] = struct{}{}
}

// nameFault returns the fault of a name that is invalid in itself, or an empty
// string.
func nameFault(name string) string {
	switch {
	case strings.TrimSpace(name) == "":
		return "the name is missing"
	case len(name) > maxNameBytes:
		return fmt.Sprintf("the name is longer than %d bytes", maxNameBytes)
	case !utf8.ValidString(name) || strings.ContainsFunc(name, unicode.IsControl):
		return "the name holds a character that can't be printed"
	}
	return ""
}

func (c *checker) checkServices() {
	for i, s := range c.text.Services {
		p := root().member("services").element(i)
		if s.Kind != KindModel && s.Kind != KindPlain {
			c.fault(p.member("kind"), fmt.Sprintf("unknown kind %q; use %q or %q", s.Kind, KindModel, KindPlain))
		}
		c.checkNotNegative(p.member("timeoutSeconds"), float64(s.TimeoutSeconds))
		c.checkServiceNames(p.member("dependsOn"), s.DependsOn)
		c.checkRoutes(p.member("routes"), s.Routes)
	}
}

// checkServiceNames validates a list of references to services.
func (c *checker) checkServiceNames(p *path, names []string) {
	for i, name := range names {
		if _, ok := c.services[name]; !ok {
			c.fault(p.element(i), fmt.Sprintf(unknownServiceFormat, name))
		}
		if slices.Index(names, name) < i {
			c.fault(p.element(i), fmt.Sprintf("the service %q is named twice", name))
		}
	}
}

func (c *checker) checkRoutes(p *path, routes []Route) {
	seen := make(map[string]struct{}, len(routes))
	for i, r := range routes {
		at := p.element(i).member("path")
		if !strings.HasPrefix(r.Path, "/") {
			c.fault(at, "must start with a slash")
			continue
		}
		if _, repeated := seen[r.Path]; repeated {
			c.fault(at, fmt.Sprintf("the path %q is given twice", r.Path))
		}
		seen[r.Path] = struct{}{}
	}
}

// checkModels adds a fault for each model that several services list, since a
// call selects its service by the model alone.
func (c *checker) checkModels() {
	seen := make(map[string]struct{})
	for i, s := range c.text.Services {
		for j, model := range s.Models {
			c.checkName(root().member("services").element(i).member("models").element(j), model, seen)
		}
	}
}

func (c *checker) checkUpstreams() {
	names := make(map[string]struct{})
	addresses := make(map[netip.AddrPort]string)
	for i, s := range c.text.Services {
		for j, u := range s.Upstreams {
			p := root().member("services").element(i).member("upstreams").element(j)
			c.checkName(p.member("name"), u.Name, names)
			c.checkAddress(p.member("address"), u, addresses)
			c.checkUpstreamDomain(p.member("failureDomain"), u.FailureDomain)
			c.checkUpstreamNumbers(p, u)
		}
	}
}

// checkAddress adds a fault if the address is not IP:port or belongs to another
// upstream.
func (c *checker) checkAddress(p *path, u Upstream, addresses map[netip.AddrPort]string) {
	address, ok := parseAddress(u.Address)
	if !ok {
		c.fault(p, mustBeIPPort)
		return
	}
	if other, taken := addresses[address]; taken {
		c.fault(p, fmt.Sprintf("the upstream %q has the address %s too", other, u.Address))
		return
	}
	addresses[address] = u.Name
}

// parseAddress parses an IP:port with a nonzero port. IPv4-mapped IPv6 addresses
// are converted to IPv4.
func parseAddress(text string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), true
}

func (c *checker) checkUpstreamDomain(p *path, domain string) {
	if fault := nameFault(domain); fault != "" {
		c.fault(p, "failure domain: "+fault)
		return
	}
	if _, ok := c.domains[domain]; !ok {
		c.fault(p, fmt.Sprintf("unknown failure domain %q; failureDomains doesn't list it", domain))
	}
}

func (c *checker) checkUpstreamNumbers(p *path, u Upstream) {
	c.checkNotNegative(p.member("slots"), float64(u.Slots))
	c.checkNotNegative(p.member("coldSlots"), float64(u.ColdSlots))
	c.checkNotNegative(p.member("cacheTokens"), float64(u.CacheTokens))
	if u.Slots > 0 && u.ColdSlots > u.Slots {
		c.fault(p.member("coldSlots"), "must not be above slots")
	}
}

func (c *checker) checkNotNegative(p *path, n float64) {
	if n < 0 || math.IsNaN(n) {
		c.fault(p, mustNotBeNegative)
	}
}

func (c *checker) checkTeams() {
	names := make(map[string]struct{}, len(c.text.Teams))
	for i, t := range c.text.Teams {
		p := root().member("teams").element(i)
		c.checkName(p.member("name"), t.Name, names)
		if !isFinite(t.RatePerSecond) || t.RatePerSecond <= 0 {
			c.fault(p.member("ratePerSecond"), mustBeAboveZero)
		}
		if !isFinite(t.Burst) || t.Burst < 1 {
			c.fault(p.member("burst"), mustBeOneOrMore)
		}
		c.checkServiceNames(p.member("services"), t.Services)
		c.checkBudget(p.member("budget"), t.Budget)
	}
}

// isFinite reports whether the number is neither infinite nor NaN.
func isFinite(n float64) bool { return !math.IsNaN(n) && !math.IsInf(n, 0) }

func (c *checker) checkBudget(p *path, b Budget) {
	c.checkNotNegative(p.member("calls"), float64(b.Calls))
	c.checkNotNegative(p.member("tokens"), float64(b.Tokens))
	c.checkNotNegative(p.member("seconds"), float64(b.Seconds))
}

func (c *checker) checkDomainsOut() {
	for i, domain := range c.text.DomainsOut {
		p := root().member("domainsOut").element(i)
		if _, ok := c.domains[domain]; !ok {
			c.fault(p, fmt.Sprintf("unknown failure domain %q", domain))
		}
		if slices.Index(c.text.DomainsOut, domain) < i {
			c.fault(p, fmt.Sprintf("the failure domain %q is named twice", domain))
		}
	}
}
