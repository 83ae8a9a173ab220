package conf

import (
	"bytes"
	"encoding/json"
)

// noComma says that no comma waits for what follows it.
const noComma = -1

// readAccepted reads a text that an instance accepted before. It is ParseText
// for a fraction of the memory, which matters at each instance of a large fleet;
// only where the text does have faults is it read again for their lines.
func readAccepted(source []byte) (Text, error) {
	var t Text
	d := json.NewDecoder(bytes.NewReader(plainJSON(source)))
	d.DisallowUnknownFields()
	if d.Decode(&t) != nil || t.Check() != nil {
		return ParseText(source)
	}
	return t, nil
}

// plainJSON returns JSON with comments as plain JSON of the same length: spaces
// stand in for comments and for commas after last elements.
func plainJSON(source []byte) []byte {
	out := bytes.Clone(source)
	comma := noComma
	for i := 0; i < len(out); {
		end := endOfToken(out, i)
		switch c := out[i]; c {
		case ' ', '\t', '\r', '\n':
		case '/':
			blank(out[i:end])
		case ',':
			comma = i
		default:
			if comma != noComma && (c == ']' || c == '}') {
				out[comma] = ' '
			}
			comma = noComma
		}
		i = end
	}
	return out
}

// endOfToken returns the offset after the text in quotes, the comment or the
// single byte that starts at the offset.
func endOfToken(source []byte, start int) int {
	rest := source[start:]
	switch {
	case rest[0] == '"':
		return start + quotedLength(rest)
	case bytes.HasPrefix(rest, []byte("//")):
		return start + lengthTo(rest, "\n")
	case bytes.HasPrefix(rest, []byte("/*")):
		return start + len("/*") + lengthTo(rest[len("/*"):], "*/")
	default:
		return start + 1
	}
}

// quotedLength returns the length of a text in quotes, quotes included.
func quotedLength(b []byte) int {
	for i := 1; i < len(b); i++ {
		switch b[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(b)
}

// lengthTo returns the length up to the end of the mark, or of everything.
func lengthTo(b []byte, mark string) int {
	i := bytes.Index(b, []byte(mark))
	if i < 0 {
		return len(b)
	}
	return i + len(mark)
}

func blank(b []byte) {
	for i := range b {
		b[i] = ' '
	}
}
