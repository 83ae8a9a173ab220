package engine

import (
	"bytes"
	"strconv"

	"github.com/juju/errors"
)

// withPriority writes the priority as the first field of a JSON object. The
// copy is the only one on the way out; the body isn't parsed.
func withPriority(body []byte, priority int) ([]byte, error) {
	rest, ok := bytes.CutPrefix(bytes.TrimLeft(body, " \t\r\n"), []byte("{"))
	if !ok {
		return nil, errors.WithType(errors.New("body is no JSON object"), ErrRefused)
	}
	out := make([]byte, 0, len(rest)+len(FieldPriority)+16)
	out = append(out, `{"`+FieldPriority+`":`...)
	out = strconv.AppendInt(out, int64(priority), 10)
	if !bytes.HasPrefix(bytes.TrimLeft(rest, " \t\r\n"), []byte("}")) {
		out = append(out, ',')
	}
	return append(out, rest...), nil
}
