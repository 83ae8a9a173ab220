package conf

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// domainsOutField is the text's field that lists the failure domains out of
// service.
const domainsOutField = "domainsOut"

// ErrUnknownDomain reports a failure domain that the text doesn't define.
const ErrUnknownDomain = errors.ConstError("unknown failure domain")

// EditDomain returns the text with the failure domain taken out of service or
// brought back, and whether the text changed. Comments are preserved.
func EditDomain(source []byte, name string, out bool) ([]byte, bool, error) {
	t, err := ParseText(source)
	if err != nil {
		return nil, false, err
	}
	if !slices.Contains(t.Domains(), name) {
		return nil, false, errors.Annotatef(ErrUnknownDomain, "%q; known are %q", name, t.Domains())
	}
	if t.DomainOut(name) == out {
		return source, false, nil
	}
	edited, err := editArray(source, name, out)
	if err != nil {
		return nil, false, err
	}
	return edited, true, checkEdit(edited, name, out)
}

// editArray adds the name to the domainsOut array or removes it.
func editArray(source []byte, name string, out bool) ([]byte, error) {
	d, err := parseDocument(source)
	if err != nil {
		return nil, err
	}
	if err := d.root.Patch(domainPatch(&d.root, name, out)); err != nil {
		return nil, errors.Trace(err)
	}
	return d.root.Pack(), nil
}

// domainPatch returns the edit as a JSON Patch (RFC 6902).
func domainPatch(root *hujson.Value, name string, out bool) []byte {
	quoted := strconv.Quote(name)
	if literal := hujson.String(name); literal.IsValid() {
		quoted = string(literal)
	}
	array, ok := domainsOutArray(root)
	switch {
	case !ok:
		return fmt.Appendf(nil, `[{"op":"add","path":"/%s","value":[%s]}]`, domainsOutField, quoted)
	case out:
		return fmt.Appendf(nil, `[{"op":"add","path":"/%s/-","value":%s}]`, domainsOutField, quoted)
	default:
		return fmt.Appendf(nil, `[{"op":"remove","path":"/%s/%d"}]`, domainsOutField, indexOf(array, name))
	}
}

// domainsOutArray returns the domainsOut array, or false if it is absent or null.
func domainsOutArray(root *hujson.Value) (*hujson.Array, bool) {
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		return nil, false
	}
	v := findMember(object, domainsOutField)
	if v == nil {
		return nil, false
	}
	array, ok := v.Value.(*hujson.Array)
	return array, ok
}

// indexOf returns the index of the string in the array, or -1.
func indexOf(array *hujson.Array, name string) int {
	return slices.IndexFunc(array.Elements, func(v hujson.Value) bool {
		literal, ok := v.Value.(hujson.Literal)
		return ok && literal.String() == name
	})
}

// checkEdit verifies that the edited text is valid and has the requested state.
func checkEdit(edited []byte, name string, out bool) error {
	t, err := ParseText(edited)
	if err != nil {
		return err
	}
	if t.DomainOut(name) != out {
		return errors.Errorf("the edit of failure domain %q had no effect", name)
	}
	return nil
}
