package conf

import (
	"slices"
	"strconv"
	"strings"
)

type (
	// path is the position of a value in an input, as a linked list from the value
	// to the root, which is nil. Paths are never retained, so that validating an
	// input without faults leaves no garbage.
	path struct {
		parent *path
		step   step
	}

	// step is a component of a path: a member's name, or an element's index if the
	// name is empty.
	step struct {
		name  string
		index int
	}
)

// root returns the path of the input's top-level value.
func root() *path { return nil }

// member returns the path of a member of the value.
func (p *path) member(name string) *path { return &path{parent: p, step: step{name: name}} }

// element returns the path of an element of the value.
func (p *path) element(index int) *path { return &path{parent: p, step: step{index: index}} }

// steps returns the components of the path, starting at the root.
func (p *path) steps() []step {
	var list []step
	for n := p; n != nil; n = n.parent {
		list = append(list, n.step)
	}
	slices.Reverse(list)
	return list
}

// String returns the path in the notation services[2].name.
func (p *path) String() string {
	var b strings.Builder
	for _, s := range p.steps() {
		if s.name == "" {
			b.WriteString("[" + strconv.Itoa(s.index) + "]")
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(s.name)
	}
	return b.String()
}
