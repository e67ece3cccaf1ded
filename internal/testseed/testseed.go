// Package testseed fixes the seed of property tests, so that every run of the
// tests checks the same cases. The flag -rapid.seed sets another seed.
package testseed

import (
	"flag"
	"fmt"
	"os"
	"testing"

	_ "pgregory.net/rapid" // defines the flag -rapid.seed
)

const defaultSeed = "20260101"

// Main runs the tests of a package with the fixed seed unless another one is set. It
// is called from TestMain and does not return.
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
