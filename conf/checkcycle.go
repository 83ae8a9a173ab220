package conf

import "strings"

// visit is how far the search for cycles has come with a service.
type visit int

const (
	unvisited visit = iota
	onTrail
	visited
)

// cycleSearch is a depth-first search over the services' dependencies.
type cycleSearch struct {
	*checker
	visits []visit
	// trail holds the services from the search's start to where it is.
	trail []int
}

// checkCycles notes each dependency that closes a cycle, and names the cycle
// in full.
func (c *checker) checkCycles() {
	s := &cycleSearch{checker: c, visits: make([]visit, len(c.text.Services))}
	for i := range c.text.Services {
		s.search(i)
	}
}

// search follows the dependencies of a service.
func (s *cycleSearch) search(service int) {
	if s.visits[service] == visited {
		return
	}
	s.visits[service] = onTrail
	s.trail = append(s.trail, service)
	for i, name := range s.text.Services[service].DependsOn {
		s.follow(service, i, name)
	}
	s.trail = s.trail[:len(s.trail)-1]
	s.visits[service] = visited
}

// follow takes one dependency: it closes a cycle, or is searched further.
func (s *cycleSearch) follow(service, i int, name string) {
	next, ok := s.services[name]
	if !ok {
		return
	}
	if s.visits[next] != onTrail {
		s.search(next)
		return
	}
	p := root().member("services").element(service).member("dependsOn").element(i)
	s.fault(p, "dependency cycle: "+s.cycle(next))
}

// cycle names the services from first to the trail's end and first again.
func (s *cycleSearch) cycle(first int) string {
	var names []string
	for _, t := range s.trail {
		if t == first || len(names) > 0 {
			names = append(names, s.text.Services[t].Name)
		}
	}
	names = append(names, s.text.Services[first].Name)
	return strings.Join(names, " -> ")
}
