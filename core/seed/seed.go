// Package seed makes random tests repeatable.
package seed

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// fixed is the seed of rapid in all packages.
const fixed = "20261204"

// Run runs the tests of a package and returns its exit code. It sets the seed of rapid
// unless the command line does, so that every run of CI draws the same random
// histories.
func Run(m *testing.M) int {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		if err := flag.Set("rapid.seed", fixed); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
	}
	return m.Run()
}
