package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"caroblane-fake": func() { os.Exit(run()) }})
}

// TestScripts checks that invalid input gives a one-line error instead of figures or
// the usage text, and that equal arguments give equal output.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
