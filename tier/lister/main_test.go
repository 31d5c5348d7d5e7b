package lister

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that CI results are
// reproducible. The flag -rapid.seed sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
