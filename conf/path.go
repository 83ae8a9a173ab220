package conf

import (
	"slices"
	"strconv"
	"strings"
)

type (
	// path leads from the root of an input to one value. It is a chain from the
	// value to the root, which is nil. Nothing keeps a path, so that a walk that
	// finds no fault leaves no garbage.
	path struct {
		parent *path
		step   step
	}

	// step is one part of a path: a member's name, or an element's index where
	// the name is empty.
	step struct {
		name  string
		index int
	}
)

// root returns the path to the whole input.
func root() *path { return nil }

// member returns the path to a member of the value.
func (p *path) member(name string) *path { return &path{parent: p, step: step{name: name}} }

// element returns the path to an element of the value.
func (p *path) element(index int) *path { return &path{parent: p, step: step{index: index}} }

// steps returns the path's parts from the root on.
func (p *path) steps() []step {
	var list []step
	for n := p; n != nil; n = n.parent {
		list = append(list, n.step)
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
