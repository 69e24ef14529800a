package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"caroblane-fake": func() { os.Exit(run()) }})
}

// TestScripts guards against invalid input that is answered with figures or the usage
// text instead of a one-line error, and against equal arguments with different output.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
