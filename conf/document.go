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

// maxDepth is the maximum nesting of brackets in an input. It limits the parser's
// recursion.
const maxDepth = 32

// document is a parsed input that retains the position of each value and collects
// the faults found in it.
type document struct {
	source []byte
	root   hujson.Value
	// lines holds the offsets of the line starts in source.
	lines  []int
	faults []Fault
}

// parseDocument parses JSON with comments. It reports syntax faults only.
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

// syntaxFault extracts the line number from the parser's error message.
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

// tooDeep returns the offset of the first bracket that exceeds maxDepth. It also
// counts brackets in comments, which only makes it stricter.
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

// line returns the line number of an offset, starting at 1.
func (d *document) line(offset int) int {
	i, found := slices.BinarySearch(d.lines, offset)
	if found {
		return i + 1
	}
	return i
}

// faultAt adds a fault at an offset of the source.
func (d *document) faultAt(offset int, p *path, message string) {
	d.faults = append(d.faults, Fault{Line: d.line(offset), Field: p.String(), Message: message})
}

// fault adds a fault at the value of the path, or at its nearest enclosing value
// that is present in the source.
func (d *document) fault(p *path, message string) {
	if d.source == nil {
		d.faults = append(d.faults, Fault{Field: p.String(), Message: message})
		return
	}
	d.faultAt(d.offset(p), p, message)
}

// offset returns the start of the value of the path, or of its nearest enclosing
// value.
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

// descend returns the value's member or element that the step selects, or nil.
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

// findMember returns the value of the named member, or nil.
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

// unquote returns the string value of a literal. It avoids the library's slower
// decoding if there is nothing to unescape.
func unquote(literal hujson.Literal) string {
	if len(literal) < 2 || bytes.IndexByte(literal, '\\') >= 0 || !utf8.Valid(literal) {
		return literal.String()
	}
	return string(literal[1 : len(literal)-1])
}

// err returns a *FaultsError with the faults found so far, or nil.
func (d *document) err() error {
	if len(d.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return a.Line - b.Line })
	return &FaultsError{Faults: d.faults}
}
