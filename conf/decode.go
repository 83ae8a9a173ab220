package conf

import (
	"math"
	"reflect"
	"strconv"
	"time"

	"github.com/tailscale/hujson"
)

const (
	wantObject   = "must be an object"
	wantArray    = "must be an array"
	wantText     = "must be a text in quotes"
	wantBool     = "must be true or false"
	wantWhole    = "must be a whole number"
	wantNumber   = "must be a number"
	wantDuration = `must be a duration such as "1.5s"`
)

var durationType = reflect.TypeFor[Duration]()

// decode decodes the value into target and adds a fault for each unknown,
// repeated or wrongly typed field.
func (d *document) decode(v *hujson.Value, p *path, target reflect.Value) {
	if target.Type() == durationType {
		d.decodeDuration(v, p, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(v, p, target)
	case reflect.Slice:
		d.decodeSlice(v, p, target)
	default:
		d.decodeLiteral(v, p, target)
	}
}

func (d *document) decodeStruct(v *hujson.Value, p *path, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.faultAt(v.StartOffset, p, wantObject)
		return
	}
	seen := make(map[string]struct{}, len(object.Members))
	for i := range object.Members {
		m := &object.Members[i]
		name := memberName(m)
		field, ok := fieldByTag(target, name)
		if !ok {
			d.faultAt(m.Name.StartOffset, p.member(name), "unknown field")
			continue
		}
		if _, repeated := seen[name]; repeated {
			d.faultAt(m.Name.StartOffset, p.member(name), "field is given twice")
			continue
		}
		seen[name] = struct{}{}
		d.decode(&m.Value, p.member(name), field)
	}
}

// fieldByTag returns the field whose json tag equals the name, case-sensitively.
func fieldByTag(target reflect.Value, name string) (reflect.Value, bool) {
	t := target.Type()
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == name {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func (d *document) decodeSlice(v *hujson.Value, p *path, target reflect.Value) {
	if isNull(v) {
		return
	}
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.faultAt(v.StartOffset, p, wantArray)
		return
	}
	n := len(array.Elements)
	target.Set(reflect.MakeSlice(target.Type(), n, n))
	for i := range array.Elements {
		d.decode(&array.Elements[i], p.element(i), target.Index(i))
	}
}

// isNull reports whether the value is null, which is accepted as an empty array.
func isNull(v *hujson.Value) bool {
	literal, ok := v.Value.(hujson.Literal)
	return ok && literal.Kind() == 'n'
}

func (d *document) decodeDuration(v *hujson.Value, p *path, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.faultAt(v.StartOffset, p, wantDuration)
		return
	}
	parsed, err := time.ParseDuration(unquote(literal))
	if err != nil {
		d.faultAt(v.StartOffset, p, wantDuration)
		return
	}
	target.SetInt(int64(parsed))
}

func (d *document) decodeLiteral(v *hujson.Value, p *path, target reflect.Value) {
	literal, _ := v.Value.(hujson.Literal)
	if fault := setLiteral(literal, target); fault != "" {
		d.faultAt(v.StartOffset, p, fault)
	}
}

// setLiteral stores the literal in target. If the type doesn't match, it returns
// the message of the fault. A nil literal, which represents an object or an array,
// never matches.
func setLiteral(literal hujson.Literal, target reflect.Value) string {
	switch target.Kind() {
	case reflect.String:
		return setString(literal, target)
	case reflect.Bool:
		return setBool(literal, target)
	case reflect.Float64:
		return setFloat(literal, target)
	default:
		return setInt(literal, target)
	}
}

func setString(literal hujson.Literal, target reflect.Value) string {
	if len(literal) == 0 || literal.Kind() != '"' {
		return wantText
	}
	target.SetString(unquote(literal))
	return ""
}

func setBool(literal hujson.Literal, target reflect.Value) string {
	if len(literal) == 0 || (literal.Kind() != 't' && literal.Kind() != 'f') {
		return wantBool
	}
	target.SetBool(literal.Bool())
	return ""
}

func setFloat(literal hujson.Literal, target reflect.Value) string {
	if len(literal) == 0 || literal.Kind() != '0' {
		return wantNumber
	}
	n, err := strconv.ParseFloat(string(literal), 64)
	if err != nil || math.IsInf(n, 0) {
		return wantNumber
	}
	target.SetFloat(n)
	return ""
}

func setInt(literal hujson.Literal, target reflect.Value) string {
	if len(literal) == 0 || literal.Kind() != '0' {
		return wantWhole
	}
	n, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil || target.OverflowInt(n) {
		return wantWhole
	}
	target.SetInt(n)
	return ""
}
