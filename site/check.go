package site

import (
	"fmt"
	"strings"
)

// Problem is an error in a configuration that could be parsed.
type Problem struct {
	// Where identifies the entry, such as "route chat".
	Where string
	// Message describes the error to the operator.
	Message string
}

// Check returns the problems of a parsed configuration in its order: duplicate
// names, references to missing entries and values out of range.
func Check(config *Config) []Problem {
	c := &checker{
		services:   make(map[string]bool),
		routes:     make(map[string]string),
		teams:      make(map[string]bool),
		teamsByKey: make(map[string]string),
	}
	if config.Version <= 0 {
		c.report("the configuration", "its version must be above zero")
	}
	for i := range config.Services {
		c.service(&config.Services[i])
	}
	for i := range config.Routes {
		c.route(&config.Routes[i])
	}
	for i := range config.Teams {
		c.team(&config.Teams[i])
	}
	return c.problems
}

type checker struct {
	problems []Problem
	services map[string]bool
	// routes maps a host and prefix to the name of its route.
	routes map[string]string
	teams  map[string]bool
	// teamsByKey maps a key to the name of its team.
	teamsByKey map[string]string
}

func (c *checker) report(where, format string, args ...any) {
	c.problems = append(c.problems, Problem{Where: where, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) service(s *Service) {
	where := "service " + s.Name
	if c.services[s.Name] {
		c.report(where, "the name is used twice")
	}
	c.services[s.Name] = true
	if s.ColdPerSecond < 0 {
		c.report(where, "the rate of a cold upstream must not be negative")
	}
	if s.Model != nil && s.Model.EventTokens <= 0 {
		c.report(where, "an event must count for a token at the least")
	}
}

func (c *checker) route(r *Route) {
	where := "route " + r.Name
	if !strings.HasPrefix(r.Prefix, "/") {
		c.report(where, "the prefix %q must begin with a slash", r.Prefix)
	}
	hostPrefix := r.Host + r.Prefix
	if other, ok := c.routes[hostPrefix]; ok {
		c.report(where, "it has the host and prefix of route %s", other)
	}
	c.routes[hostPrefix] = r.Name
	if r.Timeout <= 0 {
		c.report(where, "the timeout must be above zero")
	}
	if r.Conversation && r.Retention <= 0 {
		c.report(where, "turns must be kept for a time above zero")
	}
	c.targets(where, r.Targets)
}

func (c *checker) targets(where string, targets []Target) {
	total := 0
	for _, t := range targets {
		if !c.services[t.Service] {
			c.report(where, "there is no service %q", t.Service)
		}
		if t.Weight < 0 {
			c.report(where, "the weight of service %q must not be negative", t.Service)
		}
		total += max(0, t.Weight)
	}
	if total == 0 {
		c.report(where, "no service gets its requests")
	}
}

func (c *checker) team(t *Team) {
	where := "team " + t.Name
	if c.teams[t.Name] {
		c.report(where, "the name is used twice")
	}
	c.teams[t.Name] = true
	for _, key := range t.Keys {
		if other, ok := c.teamsByKey[key]; ok {
			// The message must not contain the key, which is a credential.
			c.report(where, "a key is held by team %s too", other)
		}
		c.teamsByKey[key] = t.Name
	}
	if t.Rate < 0 || t.Burst < 0 {
		c.report(where, "the quota must not be negative")
	}
}
