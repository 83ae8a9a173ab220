package conf

import (
	"slices"
	"strconv"
	"strings"
)

// path leads from the root of an input to one value. It is a chain from the
// value to the root, which is nil, so that a walk makes no copies.
type path struct {
	parent *path
	// name is a member's name; it is empty for an element.
	name string
	// index is an element's index.
	index int
}

// root returns the path to the whole input.
func root() *path { return nil }

// member returns the path to a member of the value.
func (p *path) member(name string) *path { return &path{parent: p, name: name} }

// element returns the path to an element of the value.
func (p *path) element(index int) *path { return &path{parent: p, index: index} }

// steps returns the path's parts from the root on.
func (p *path) steps() []*path {
	var list []*path
	for s := p; s != nil; s = s.parent {
		list = append(list, s)
	}
	slices.Reverse(list)
	return list
}

// String returns the path as people write it: services[2].name.
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
