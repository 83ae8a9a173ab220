package conf

import (
	"strconv"
	"strings"
)

// step is one part of a path: a member's name, or an element's index where
// the name is empty.
type step struct {
	name  string
	index int
}

// path leads from the root of an input to one value.
type path []step

// member returns the path to a member of the value.
func (p path) member(name string) path {
	return append(p[:len(p):len(p)], step{name: name})
}

// element returns the path to an element of the value.
func (p path) element(index int) path {
	return append(p[:len(p):len(p)], step{index: index})
}

// String returns the path as people write it: services[2].name.
func (p path) String() string {
	var b strings.Builder
	for _, s := range p {
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
