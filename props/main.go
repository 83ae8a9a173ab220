// Package props runs property tests with the same random inputs each time.
package props

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Settings are values of the property tests' flags, by the flag's name.
type Settings map[string]string

// Main is a TestMain that fixes the seed of random inputs, so that each run has
// the same, and sets further flags. The command line goes before all of them.
func Main(m *testing.M, settings Settings) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	all := Settings{"rapid.seed": "1"}
	for name, value := range settings {
		all[name] = value
	}
	for name, value := range all {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
