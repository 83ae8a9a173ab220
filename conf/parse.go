package conf

import "reflect"

// ParseText parses the operators' text in JSON with comments. If the text is
// invalid, it returns an empty text and a *FaultsError with all faults.
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

// Check returns a *FaultsError without line numbers if the text is invalid.
func (t Text) Check() error {
	d := &document{}
	checkText(d, t)
	return d.err()
}

// ParseSettings parses settings in JSON with comments. Omitted fields have their
// default values. If the settings are invalid, it returns empty settings and a
// *FaultsError with all faults.
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
