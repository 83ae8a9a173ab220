package conf

// Check returns a *FaultsError without line numbers if the settings are invalid.
func (s Settings) Check() error {
	d := &document{}
	checkSettings(d, s)
	return d.err()
}
