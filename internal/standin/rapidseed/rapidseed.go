// Package rapidseed fixes the seed of generated tests, so that CI gives the same
// verdict each time.
package rapidseed

import (
	"flag"
	"os"
	"testing"
)

// Seed is the seed of all generated tests unless -rapid.seed is given.
const Seed = "20261204"

// Run runs a package's tests with the fixed seed and further settings of rapid
// by flag name, apart from what the command line gives. Failing cases are not
// written to files, since the seed repeats them.
func Run(m *testing.M, settings map[string]string) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": Seed, "rapid.nofailfile": "true"}
	for name, value := range settings {
		fixed[name] = value
	}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
