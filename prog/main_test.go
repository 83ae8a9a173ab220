package prog

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of random inputs, so that each run has the same.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
