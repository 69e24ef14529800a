package cmds_test

import (
	"net/http"
	"strings"
	"testing"

	"caroblane/io/cmds"
)

// hookReader is a source of random numbers that calls a function on its first
// read, which is after a command has read its objects and before it writes.
type hookReader struct{ onFirstRead func() }

func (m *hookReader) Read(data []byte) (int, error) {
	if m.onFirstRead != nil {
		m.onFirstRead()
		m.onFirstRead = nil
	}
	return len(data), nil
}

// TestConcurrentChange guards against an edit that overwrites a change made by
// another client between the read and the write of the edit.
func TestConcurrentChange(t *testing.T) {
	s := startStore(t, newObject(t, "Template", "acme", `{"Rate":5,"Burst":10}`))
	env := cmds.System()
	env.Random = &hookReader{func() {
		if code, _, stderr := run(cmds.System(), s.Addr(), "template", "edit", "acme", "--set", "Rate=7"); code != 0 {
			t.Error(stderr)
		}
	}}
	code, _, stderr := run(env, s.Addr(), "template", "edit", "acme", "--set", "Burst=99")
	checkSingleLine(t.Fatalf, stderr)
	if code != cmds.CodeConflict {
		t.Errorf("code %d, %s", code, stderr)
	}
	if _, out, _ := run(cmds.System(), s.Addr(), "template", "show", "acme", "--json"); strings.Contains(out, "99") || !strings.Contains(out, `"Rate": 7`) {
		t.Errorf("the later edit took effect: %s", out)
	}
}

// TestLostResponses guards against a write whose response was lost and that is
// made twice, or reported as failed although it took effect. If its outcome cannot
// be determined, it must be reported as unknown.
func TestLostResponses(t *testing.T) {
	for name, test := range map[string]struct {
		faults string
		code   int
		want   string
	}{
		"one":  {`{"LoseAnswers":1}`, 0, "updated, version 2"},
		"all":  {`{"LoseAnswersAfterWrite":true}`, cmds.CodeUnreachable, "may have been updated"},
		"down": {`{"Down":true}`, cmds.CodeUnreachable, "may have been updated"},
	} {
		t.Run(name, func(t *testing.T) {
			s := startStore(t, newObject(t, "Template", "acme", `{"Rate":5,"Burst":10}`))
			env := cmds.System()
			env.Random = &hookReader{func() {
				if err := sendRequest(http.MethodPost, "http://"+s.Addr()+"/faults", test.faults); err != nil {
					t.Error(err)
				}
			}}
			code, stdout, stderr := run(env, s.Addr(), "template", "edit", "acme", "--set", "Rate=7")
			if code != test.code || !strings.Contains(stdout+stderr, test.want) {
				t.Errorf("code %d, %s%s", code, stdout, stderr)
			}
			if revision := s.Snapshot().Inner().Revision(); revision > 2 {
				t.Errorf("the write took effect %d times", revision-1)
			}
		})
	}
}
