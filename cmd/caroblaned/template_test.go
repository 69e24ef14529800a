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

// Guards against an invalid template that replaces the valid one (G13).
func TestInvalidTemplate(t *testing.T) {
	t.Parallel()
	in := install(t, 2)
	for _, invalid := range []any{
		map[string]any{"Rate": -1, "Burst": 5},
		map[string]any{"Rate": "many", "Burst": 5},
		map[string]any{"Rate": 5, "Burst": 5, "Unknown": 1},
		[]int{1},
	} {
		in.write("Template", "account", invalid)
		in.inForce("Template", "account")
		for node := range in.nodes {
			if status, _ := in.status(node); status.Faults["Template/account"] == "" {
				t.Errorf("%v: node %d shows faults %v", invalid, node, status.Faults)
			}
			if err := wholeStream(in.chat(node, 1), 1); err != nil {
				t.Errorf("%v: node %d: %v", invalid, node, err)
			}
		}
	}
	in.write("Template", "account", map[string]any{"Rate": 500, "Burst": 500})
	in.inForce("Template", "account")
	for node := range in.nodes {
		if status, _ := in.status(node); len(status.Faults) != 0 {
			t.Errorf("node %d shows faults %v", node, status.Faults)
		}
	}
}

// Guards against a change of one operator that another one, who edits the same
// template at the same time, overwrites with the values that he read before
// (G13).
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	in := install(t, 2)
	// A slow store makes the time between reading and writing long.
	in.fault(in.store, `{"SlowBy":"30ms"}`)
	const edits = 6
	fields := []string{"Rate", "Burst"}
	last := make([]int, len(fields))
	conflicts := make([]int, len(fields))
	var running sync.WaitGroup
	for i, field := range fields {
		running.Go(func() {
			for value := 1; value <= edits; {
				out, err := in.operator("template", "edit", "account", "--set", fmt.Sprintf("%s=%d", field, 100+value))
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
	text := httpText(t, "http://"+in.store+"/objects/Template/account")
	if err := json.Unmarshal([]byte(text), &held); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	for i, field := range fields {
		if last[i] == 0 || held.Value[field] != float64(last[i]) {
			t.Errorf("%s is %v; the last edit that succeeded set %d", field, held.Value[field], last[i])
		}
	}
	t.Logf("%v conflicts, %d edits each", conflicts, edits)
	in.inForce("Template", "account")
}

// operator runs the operators' command line and returns its output.
func (in *installation) operator(args ...string) (string, error) {
	in.t.Helper()
	dir, err := programs()
	if err != nil {
		in.t.Fatal(err)
	}
	command := exec.Command(filepath.Join(dir, "caroblane"), args...)
	command.Env = append(os.Environ(), "CAROBLANE_PLATFORM="+in.store)
	out, err := command.CombinedOutput()
	return string(out), err
}
