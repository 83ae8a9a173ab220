package conf

import "strings"

// visitState is the state of a service in the depth-first search.
type visitState int

const (
	unvisited visitState = iota
	onStack
	visited
)

// cycleSearch is a depth-first search for cycles in the services' dependencies.
type cycleSearch struct {
	*checker
	visits []visitState
	// stack holds the services on the path from the start to the current one.
	stack []int
}

// checkCycles adds a fault for each dependency that closes a cycle. The message
// lists all services of the cycle.
func (c *checker) checkCycles() {
	s := &cycleSearch{checker: c, visits: make([]visitState, len(c.text.Services))}
	for i := range c.text.Services {
		s.search(i)
	}
}

// search visits a service and its dependencies.
func (s *cycleSearch) search(service int) {
	if s.visits[service] == visited {
		return
	}
	s.visits[service] = onStack
	s.stack = append(s.stack, service)
	for i, name := range s.text.Services[service].DependsOn {
		s.follow(service, i, name)
	}
	s.stack = s.stack[:len(s.stack)-1]
	s.visits[service] = visited
}

// follow adds a fault if the dependency closes a cycle, or else visits it.
func (s *cycleSearch) follow(service, i int, name string) {
	next, ok := s.services[name]
	if !ok {
		return
	}
	if s.visits[next] != onStack {
		s.search(next)
		return
	}
	p := root().member("services").element(service).member("dependsOn").element(i)
	s.fault(p, "dependency cycle: "+s.cycle(next))
}

// cycle returns the names of the services from first to the top of the stack,
// followed by first again.
func (s *cycleSearch) cycle(first int) string {
	var names []string
	for _, t := range s.stack {
		if t == first || len(names) > 0 {
			names = append(names, s.text.Services[t].Name)
		}
	}
	names = append(names, s.text.Services[first].Name)
	return strings.Join(names, " -> ")
}
