package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

// TestInvalidTemplate guards against an invalid template that replaces the valid one,
// so that requests of the client account fail, and against a status that does not
// report it.
func TestInvalidTemplate(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 2)
	for _, invalid := range []any{
		map[string]any{"Rate": -1, "Burst": 5},
		map[string]any{"Rate": "many", "Burst": 5},
		map[string]any{"Rate": 5, "Burst": 5, "Unknown": 1},
		[]int{1},
	} {
		in.writeObject("Template", "account", invalid)
		in.waitInForce("Template", "account")
		for node := range in.nodes {
			if status, _ := in.status(node); status.Faults["Template/account"] == "" {
				t.Errorf("%v: node %d reports faults %v", invalid, node, status.Faults)
			}
			if err := checkStream(in.chat(node, 1), 1); err != nil {
				t.Errorf("%v: node %d: %v", invalid, node, err)
			}
		}
	}
	in.writeObject("Template", "account", map[string]any{"Rate": 500, "Burst": 500})
	in.waitInForce("Template", "account")
	for node := range in.nodes {
		if status, _ := in.status(node); len(status.Faults) != 0 {
			t.Errorf("node %d reports faults %v", node, status.Faults)
		}
	}
}

// TestOperatorsRace guards against concurrent edits of a template that overwrite each
// other. Each operator reads the template, changes one field and writes it back. If the
// template has changed since the read, the write must fail with a conflict.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 2)
	// A slow store extends the time between read and write, which makes conflicts
	// likely.
	in.setFaults(in.store, `{"SlowBy":"30ms"}`)
	const edits = 6
	fields := []string{"Rate", "Burst"}
	last := make([]int, len(fields))
	conflicts := make([]int, len(fields))
	var running sync.WaitGroup
	for i, field := range fields {
		running.Go(func() {
			for value := 1; value <= edits; {
				out, err := in.runOperatorCommand("template", "edit", "account", "--set", fmt.Sprintf("%s=%d", field, 100+value))
				switch {
				case err == nil:
					last[i] = 100 + value
					value++
				case strings.Contains(out, "was changed meanwhile"):
					conflicts[i]++
				default:
					t.Errorf("edit of %s: %v: %s", field, err, out)
					return
				}
			}
		})
	}
	running.Wait()
	var held struct{ Value map[string]float64 }
	text := getText(t, "http://"+in.store+"/objects/Template/account")
	if err := json.Unmarshal([]byte(text), &held); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	for i, field := range fields {
		if last[i] == 0 || held.Value[field] != float64(last[i]) {
			t.Errorf("%s is %v, want %d from the last successful edit", field, held.Value[field], last[i])
		}
	}
	t.Logf("%v conflicts in %d edits per operator", conflicts, edits)
	in.waitInForce("Template", "account")
}

// runOperatorCommand runs the caroblane command and returns its output.
func (in *installation) runOperatorCommand(args ...string) (string, error) {
	in.t.Helper()
	dir, err := buildPrograms()
	if err != nil {
		in.t.Fatal(err)
	}
	command := exec.Command(filepath.Join(dir, "caroblane"), args...)
	command.Env = append(os.Environ(), "CAROBLANE_PLATFORM="+in.store)
	out, err := command.CombinedOutput()
	return string(out), err
}
