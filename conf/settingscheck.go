package conf

// Check returns a *FaultsError without lines if the settings can't be used.
func (s Settings) Check() error {
	d := &document{}
	checkSettings(d, s)
	return d.err()
}
