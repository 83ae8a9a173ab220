package conf

import (
	"bytes"
	"encoding/json"
)

// noPendingComma means that the last token was not a comma.
const noPendingComma = -1

// parseAccepted parses a text that an instance has accepted before. The result is
// that of ParseText at a fraction of the memory, which matters since every
// instance of a large fleet parses the text. A text with faults is parsed again by
// ParseText, to get their lines.
func parseAccepted(source []byte) (Text, error) {
	var t Text
	d := json.NewDecoder(bytes.NewReader(plainJSON(source)))
	d.DisallowUnknownFields()
	if d.Decode(&t) != nil || t.Check() != nil {
		return ParseText(source)
	}
	return t, nil
}

// plainJSON converts JSON with comments to plain JSON of the same length, by
// replacing comments and trailing commas with spaces.
func plainJSON(source []byte) []byte {
	out := bytes.Clone(source)
	comma := noPendingComma
	for i := 0; i < len(out); {
		end := endOfToken(out, i)
		switch c := out[i]; c {
		case ' ', '\t', '\r', '\n':
		case '/':
			fillWithSpaces(out[i:end])
		case ',':
			comma = i
		default:
			if comma != noPendingComma && (c == ']' || c == '}') {
				out[comma] = ' '
			}
			comma = noPendingComma
		}
		i = end
	}
	return out
}

// endOfToken returns the end of the string, comment or single byte that starts at
// the offset.
func endOfToken(source []byte, start int) int {
	rest := source[start:]
	switch {
	case rest[0] == '"':
		return start + quotedLength(rest)
	case bytes.HasPrefix(rest, []byte("//")):
		return start + lengthThrough(rest, "\n")
	case bytes.HasPrefix(rest, []byte("/*")):
		return start + len("/*") + lengthThrough(rest[len("/*"):], "*/")
	default:
		return start + 1
	}
}

// quotedLength returns the length of a quoted string, including the quotes.
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

// lengthThrough returns the length through the end of the delimiter, or the total
// length without one.
func lengthThrough(b []byte, mark string) int {
	i := bytes.Index(b, []byte(mark))
	if i < 0 {
		return len(b)
	}
	return i + len(mark)
}

func fillWithSpaces(b []byte) {
	for i := range b {
		b[i] = ' '
	}
}
