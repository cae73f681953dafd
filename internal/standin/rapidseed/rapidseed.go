// Package rapidseed fixes the seed of property-based tests, which use the
// library rapid, so that CI gives the same result in each run.
package rapidseed

import (
	"flag"
	"os"
	"testing"
)

// Seed is the seed of the property-based tests, unless the flag -rapid.seed or
// a setting of the package gives another.
const Seed = "20261204"

// Run runs the tests of a package with the fixed seed and exits the process.
// Further settings of rapid, such as "rapid.checks", are given by flag name and
// may replace the seed. Flags on the command line take precedence. Failing
// cases are not written to files, since the seed reproduces them. Run panics if
// rapid does not accept a setting.
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
