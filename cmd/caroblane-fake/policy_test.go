package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"caroblane-fake": func() { os.Exit(run()) }})
}

// TestScripts guards against a command that hides wrong input behind figures or
// a page of usage, or whose output differs from run to run.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
