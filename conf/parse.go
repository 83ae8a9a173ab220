package conf

import "reflect"

// ParseText reads the operators' text from JSON with comments. Where anything
// is wrong it returns an empty text and a *FaultsError with every fault.
func ParseText(source []byte) (Text, error) {
	d, err := parseDocument(source)
	if err != nil {
		return Text{}, err
	}
	var t Text
	d.decode(&d.root, nil, reflect.ValueOf(&t).Elem())
	checkText(d, t)
	if err := d.err(); err != nil {
		return Text{}, err
	}
	return t, nil
}

// Check returns a *FaultsError without lines if the text may not take effect.
func (t Text) Check() error {
	d := &document{}
	checkText(d, t)
	return d.err()
}

// ParseSettings reads settings from JSON with comments. A field that is left
// out keeps its default. Where anything is wrong it returns empty settings and
// a *FaultsError with every fault.
func ParseSettings(source []byte) (Settings, error) {
	d, err := parseDocument(source)
	if err != nil {
		return Settings{}, err
	}
	s := DefaultSettings()
	d.decode(&d.root, nil, reflect.ValueOf(&s).Elem())
	checkSettings(d, s)
	if err := d.err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}
