package cmds_test

import (
	"strings"
	"testing"

	"caroblane/io/cmds"
)

// TestBadInput guards against invalid input that changes an object, and against
// errors that scripts cannot handle: of several lines or with an undocumented
// exit code.
func TestBadInput(t *testing.T) {
	s := startStore(t,
		newObject(t, "Template", "acme", `{"Rate":5,"Burst":10}`),
		newObject(t, "Key", "k1", `{"Account":"acme","Hash":"`+strings.Repeat("ab", 32)+`"}`),
		newObject(t, "Upstream", "gone", `{"Address":"127.0.0.1:1","Slots":1,"State":"Withdrawn"}`))
	const canary = "cbk_canary7f3a19c4"
	for name, test := range map[string]struct {
		args  []string
		stdin string
		code  int
		want  string
	}{
		"no command":            {nil, "", 2, "requires a command; accepted: template, key"},
		"unknown command":       {[]string{"tmplate"}, "", 2, `unknown command "caroblane tmplate"`},
		"unknown subcommand":    {[]string{"template", "lst"}, "", 2, "accepted: list, show, apply"},
		"unknown flag":          {[]string{"template", "list", "--al"}, "", 2, "al"},
		"flag without value":    {[]string{"template", "edit", "acme", "--set"}, "", 2, "set"},
		"missing argument":      {[]string{"template", "show"}, "", 2, "argument NAME is missing"},
		"empty argument":        {[]string{"template", "show", ""}, "", 2, "argument NAME is empty"},
		"one too many":          {[]string{"template", "show", "a", "b"}, "", 2, `unexpected argument "b"`},
		"host name":             {[]string{"--platform", "localhost:1", "template", "list"}, "", 2, `"localhost:1"`},
		"empty platform":        {[]string{"--platform", "", "template", "list"}, "", 2, "--platform is missing"},
		"admin address":         {[]string{"--admin", "entry-1", "node", "list"}, "", 2, "NAME=IP:PORT"},
		"admin port":            {[]string{"--admin-port", "70000", "node", "list"}, "", 2, "70000"},
		"unreachable":           {[]string{"--platform", "127.0.0.1:1", "template", "list"}, "", 5, "platform does not respond"},
		"absent":                {[]string{"template", "show", "nobody"}, "", 4, "Template/nobody does not exist"},
		"edit absent":           {[]string{"template", "edit", "nobody", "--set", "Rate=1"}, "", 4, "Template/nobody does not exist"},
		"edit nothing":          {[]string{"template", "edit", "acme"}, "", 2, "--set is missing"},
		"edit without value":    {[]string{"template", "edit", "acme", "--set", "Rate"}, "", 2, "Field=Value"},
		"edit twice":            {[]string{"template", "edit", "acme", "--set", "Rate=1", "--set", "Rate=2"}, "", 2, "Rate twice"},
		"edit unknown field":    {[]string{"template", "edit", "acme", "--set", "rate=1"}, "", 2, "rate"},
		"edit names nobody":     {[]string{"template", "edit", "acme", "--set", "Models=x,y"}, "", 4, "refers to Model/x, which does not exist"},
		"edit other type":       {[]string{"template", "edit", "acme", "--set", "Rate=fast"}, "", 2, "Rate"},
		"edit out of range":     {[]string{"template", "edit", "acme", "--set", "CheapShare=2"}, "", 2, "accepted: 0 to 1"},
		"edit at old version":   {[]string{"template", "edit", "acme", "--set", "Rate=1", "--if-version", "99"}, "", 3, "version 1, not 99"},
		"delete with keys":      {[]string{"template", "delete", "acme"}, "", 1, "1 active keys (k1)"},
		"delete at old version": {[]string{"template", "delete", "acme", "--if-version", "9", "--force"}, "", 3, "nothing was changed"},
		"no file":               {[]string{"template", "apply", "/nonexistent/f.json"}, "", 2, "no such file"},
		"empty file":            {[]string{"template", "apply", "-"}, "", 2, "contains no objects"},
		"not JSON":              {[]string{"template", "apply", "-"}, "rate: 5", 2, "invalid character"},
		"cut JSON":              {[]string{"template", "apply", "-"}, `{"Kind":"Template"`, 2, "unexpected EOF"},
		"text after array":      {[]string{"config", "validate", "-"}, `[] x`, 2, "text follows"},
		"unknown file field":    {[]string{"template", "apply", "-"}, `{"Kind":"Template","Name":"a","Valeu":{}}`, 2, "Valeu"},
		"unknown kind":          {[]string{"template", "apply", "-"}, `{"Kind":"template","Name":"a","Value":{}}`, 2, "accepted: Template, Key"},
		"other kind":            {[]string{"template", "apply", "-"}, `{"Kind":"Model","Name":"a","Value":{"MaxTokens":1}}`, 2, "one object of kind Template"},
		"two objects": {
			[]string{"model", "apply", "-"},
			`{"Kind":"Model","Name":"a","Value":{"MaxTokens":1}} {"Kind":"Model","Name":"b","Value":{"MaxTokens":1}}`, 2, "contains 2 objects",
		},
		"no value":            {[]string{"template", "apply", "-"}, `{"Kind":"Template","Name":"a"}`, 2, "Value is missing"},
		"name with slash":     {[]string{"model", "apply", "-"}, `{"Kind":"Model","Name":"a/b","Value":{"MaxTokens":1}}`, 2, "without a slash"},
		"names nobody":        {[]string{"route", "apply", "-"}, `{"Kind":"Route","Name":"r","Value":{"Prefix":"/r","Upstreams":["x"]}}`, 4, "refers to Upstream/x, which does not exist"},
		"other name inside":   {[]string{"upstream", "apply", "-"}, `{"Kind":"Upstream","Name":"u","Value":{"Name":"v","Address":"127.0.0.1:1","Slots":1}}`, 2, "Value.Name"},
		"apply at version 0":  {[]string{"template", "apply", "-"}, `{"Kind":"Template","Name":"acme","Version":0,"Value":{"Burst":1}}`, 3, "version 1, not 0"},
		"apply to absent":     {[]string{"template", "apply", "-"}, `{"Kind":"Template","Name":"new","Version":4,"Value":{"Burst":1}}`, 3, "version 0, not 4"},
		"all faults":          {[]string{"config", "validate", "-"}, `{"Kind":"Model","Name":"a","Value":{}} {"Kind":"X","Name":"b","Value":{}}`, 2, "object 2 (X/b)"},
		"twice in file":       {[]string{"config", "diff", "-"}, `[{"Kind":"Model","Name":"a","Value":{"MaxTokens":1}},{"Kind":"Model","Name":"a","Value":{"MaxTokens":2}}]`, 2, "occurs twice"},
		"key for nobody":      {[]string{"key", "create", "nobody"}, "", 4, "Template/nobody does not exist"},
		"key name taken":      {[]string{"key", "create", "acme", "--name", "k1"}, "", 3, "Key/k1 exists"},
		"key name with slash": {[]string{"key", "create", "acme", "--name", "a/b"}, "", 2, "without a slash"},
		"key as its name":     {[]string{"key", "withdraw", canary}, "", 2, "argument NAME is a key"},
		"key as a new name":   {[]string{"key", "create", "acme", "--name", canary}, "", 2, "--name"},
		"key as a name":       {[]string{"template", "show", canary}, "", 4, "[redacted]"},
		"half of peer TLS":    {[]string{"key", "withdraw", "k1", "--peer-key", "k.pem"}, "", 2, "all three or none"},
		"no peer files": {
			[]string{"key", "withdraw", "k1", "--peer-key", "k", "--peer-certificate", "c", "--peer-authority", "a"}, "", 2, "no such file",
		},
		"withdraw absent":     {[]string{"key", "withdraw", "k9"}, "", 4, "Key/k9 does not exist"},
		"drain withdrawn":     {[]string{"upstream", "drain", "gone"}, "", 1, "is withdrawn"},
		"escape sequence":     {[]string{"template", "show", "a\x1b[31m\nb"}, "", 4, "does not exist"},
		"forget carelessly":   {[]string{"node", "forget", "entry-2"}, "", 2, "--stopped is missing"},
		"unknown node":        {[]string{"node", "drain", "entry-9"}, "", 4, "entry-9 is not in any roster"},
		"wait without nodes":  {[]string{"config", "wait"}, "", 4, "no roster has members"},
		"wait for the future": {[]string{"config", "wait", "--version", "999"}, "", 4, "version 999 does not exist"},
		"wait too long":       {[]string{"config", "wait", "--within", "2h"}, "", 2, "1s to 1h"},
		"wait without unit":   {[]string{"config", "wait", "--within", "20"}, "", 2, "within"},
		"bad version":         {[]string{"config", "wait", "--version", "x"}, "", 2, "version"},
		"completion shell":    {[]string{"completion", "tcsh"}, "", 2, "tcsh"},
	} {
		t.Run(name, func(t *testing.T) {
			env := cmds.System()
			env.In = strings.NewReader(test.stdin)
			before := s.Snapshot().Inner().Revision()
			code, stdout, stderr := run(env, s.Addr(), test.args...)
			checkSingleLine(t.Fatalf, stderr)
			if code != test.code || !strings.Contains(stderr, test.want) || stdout != "" {
				t.Errorf("code %d, standard output %q, standard error %q", code, stdout, stderr)
			}
			if strings.Contains(stderr, canary) || strings.Contains(stderr, "\x1b") {
				t.Errorf("standard error holds a secret or a control character: %q", stderr)
			}
			if after := s.Snapshot().Inner().Revision(); after != before {
				t.Errorf("the platform's revision rose from %d to %d", before, after)
			}
		})
	}
}

// TestHelp guards against a command whose help has no example.
func TestHelp(t *testing.T) {
	for _, line := range strings.Split(strings.TrimSpace(`
template list|template show|template apply|template edit|template delete|template
key list|key create|key withdraw|key|upstream list|upstream show|upstream apply|upstream drain|upstream
node list|node status|node drain|node forget|node|route list|route show|route apply|route
model list|model show|model apply|model|config validate|config diff|config version|config wait|config|usage|completion`), "|") {
		for _, command := range strings.Split(line, "\n") {
			code, stdout, stderr := run(cmds.System(), "127.0.0.1:1", append(strings.Fields(command), "--help")...)
			if code != 0 || stderr != "" || !strings.Contains(stdout, "Example:\n") {
				t.Errorf("%s: code %d, %q %q", command, code, stdout, stderr)
			}
		}
	}
}
