// Package rapidseed fixes the seed of property-based tests, so that CI gives
// the same result in each run.
package rapidseed

import (
	"flag"
	"os"
	"testing"
)

// Seed is the seed of all property-based tests unless the flag -rapid.seed is
// given.
const Seed = "20261204"

// Run runs the tests of a package with the fixed seed and further settings of
// rapid, which are given by flag name, and exits the process. Flags on the
// command line take precedence. Failing cases are not written to files, since
// the seed reproduces them. Run panics if rapid does not accept a setting.
func Run(m *testing.M, settings map[string]string) {
	flag.Parse()
	values := map[string]string{"rapid.seed": Seed, "rapid.nofailfile": "true"}
	for name, value := range settings {
		values[name] = value
	}
	flag.Visit(func(f *flag.Flag) { delete(values, f.Name) })
	for name, value := range values {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
