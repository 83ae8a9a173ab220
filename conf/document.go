package conf

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// maxDepth is the deepest nesting of an input, in brackets. It bounds the
// parser's recursion.
const maxDepth = 32

// document is a parsed input that remembers where each value stands and
// gathers the faults found in it.
type document struct {
	source []byte
	root   hujson.Value
	// lines are the offsets at which the lines of source start.
	lines  []int
	faults []Fault
}

// parseDocument parses JSON with comments. The only faults that it reports are
// those of the syntax.
func parseDocument(source []byte) (*document, error) {
	source = bytes.Clone(source)
	d := &document{source: source, lines: lineStarts(source)}
	if offset, ok := tooDeep(source); ok {
		d.faultAt(offset, nil, fmt.Sprintf("nested deeper than %d brackets", maxDepth))
		return nil, d.err()
	}
	root, err := hujson.Parse(source)
	if err != nil {
		d.faults = append(d.faults, syntaxFault(err))
		return nil, d.err()
	}
	d.root = root
	return d, nil
}

// syntaxFault takes the line out of the parser's message.
func syntaxFault(err error) Fault {
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	rest, ok := strings.CutPrefix(message, "line ")
	if !ok {
		return Fault{Line: 1, Message: message}
	}
	number, rest, _ := strings.Cut(rest, ", ")
	line, err := strconv.Atoi(number)
	if err != nil {
		return Fault{Line: 1, Message: message}
	}
	return Fault{Line: line, Message: rest}
}

// lineStarts returns the offset of each line's first byte.
func lineStarts(source []byte) []int {
	starts := []int{0}
	for i, c := range source {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// tooDeep returns the offset of the bracket that nests deeper than maxDepth.
// It may count brackets in comments, which only makes it stricter.
func tooDeep(source []byte) (int, bool) {
	depth := 0
	quoted := false
	for i := 0; i < len(source); i++ {
		switch c := source[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted && c == '\n':
			quoted = false
		case quoted:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		}
		if depth > maxDepth {
			return i, true
		}
	}
	return 0, false
}

// line returns the line of an offset, from 1.
func (d *document) line(offset int) int {
	i, found := slices.BinarySearch(d.lines, offset)
	if found {
		return i + 1
	}
	return i
}

// faultAt notes a fault at an offset of the source.
func (d *document) faultAt(offset int, p *path, message string) {
	d.faults = append(d.faults, Fault{Line: d.line(offset), Field: p.String(), Message: message})
}

// fault notes a fault at the value that the path leads to, or at the nearest
// value around it that the source holds.
func (d *document) fault(p *path, message string) {
	if d.source == nil {
		d.faults = append(d.faults, Fault{Field: p.String(), Message: message})
		return
	}
	d.faultAt(d.offset(p), p, message)
}

// offset returns where the value of the path starts.
func (d *document) offset(p *path) int {
	v := &d.root
	for _, s := range p.steps() {
		next := descend(v, s)
		if next == nil {
			break
		}
		v = next
	}
	return v.StartOffset
}

// descend returns the member or element of the value, or nil.
func descend(v *hujson.Value, s step) *hujson.Value {
	switch c := v.Value.(type) {
	case *hujson.Object:
		return findMember(c, s.name)
	case *hujson.Array:
		if s.name == "" && s.index < len(c.Elements) {
			return &c.Elements[s.index]
		}
	}
	return nil
}

// findMember returns the value of the object's member, or nil.
func findMember(o *hujson.Object, name string) *hujson.Value {
	for i := range o.Members {
		if memberName(&o.Members[i]) == name {
			return &o.Members[i].Value
		}
	}
	return nil
}

// memberName returns the member's name, unquoted.
func memberName(m *hujson.ObjectMember) string {
	literal, ok := m.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return unquote(literal)
}

// unquote returns the text of a literal. It spares the library's slow way
// where there is nothing to unescape.
func unquote(literal hujson.Literal) string {
	if len(literal) < 2 || bytes.IndexByte(literal, '\\') >= 0 || !utf8.Valid(literal) {
		return literal.String()
	}
	return string(literal[1 : len(literal)-1])
}

// err returns the faults so far as a FaultsError, or nil.
func (d *document) err() error {
	if len(d.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return a.Line - b.Line })
	return &FaultsError{Faults: d.faults}
}
