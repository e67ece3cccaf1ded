// Package testseed fixes the seed of property tests, so that every run of the
// tests gives the same verdict. Another seed is given by -rapid.seed.
package testseed

import (
	"flag"
	"fmt"
	"os"
	"testing"

	_ "pgregory.net/rapid" // defines the flags
)

const defaultSeed = "20260101"

// Main runs the tests of a package; it is called from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set(defaultSeed); err != nil {
			fmt.Fprintln(os.Stderr, "testseed:", err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}
