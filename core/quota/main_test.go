package quota_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain sets the seed unless the command line does, so that every run of CI
// draws the same random histories.
func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
