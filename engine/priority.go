package engine

import (
	"bytes"
	"strconv"

	"github.com/juju/errors"
)

// withPriority inserts the priority as the first field of a JSON object. It
// doesn't parse the body; this is the only copy made of it.
func withPriority(body []byte, priority int) ([]byte, error) {
	fields, ok := bytes.CutPrefix(bytes.TrimLeft(body, " \t\r\n"), []byte("{"))
	if !ok {
		return nil, errors.WithType(errors.New("body is no JSON object"), ErrRefused)
	}
	out := make([]byte, 0, len(fields)+len(FieldPriority)+16)
	out = append(out, `{"`+FieldPriority+`":`...)
	out = strconv.AppendInt(out, int64(priority), 10)
	if !bytes.HasPrefix(bytes.TrimLeft(fields, " \t\r\n"), []byte("}")) {
		out = append(out, ',')
	}
	return append(out, fields...), nil
}
