package cmds_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"caroblane/io/cmds"
	"caroblane/stack"
)

// startStack runs a complete installation until the test ends.
func startStack(t *testing.T) *stack.Stack {
	t.Helper()
	s, err := stack.New(context.Background(), stack.DefaultOptions(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Stop(); err != nil {
			t.Error(err)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := s.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	return s
}

// sendChat sends a chat request with a key and returns the status code and the
// body.
func sendChat(t *testing.T, address, key string) (int, string) {
	t.Helper()
	body := `{"model":"` + stack.Model + `","max_tokens":2,"messages":[{"role":"user","content":"hello"}]}`
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(text)
}

// TestCommandsAgainstNodes guards against commands that do not fit real nodes:
// a key hash that nodes compute differently, a config wait that returns before
// the version is in force, and a drain that does not stop the node.
func TestCommandsAgainstNodes(t *testing.T) {
	s := startStack(t)
	var admins []string
	for i, address := range s.Admins() {
		admins = append(admins, "node-"+string(rune('1'+i))+"="+address)
	}
	do := func(want int, args ...string) string {
		t.Helper()
		code, stdout, stderr := run(cmds.System(), s.Platform(), append([]string{"--admin", strings.Join(admins, ",")}, args...)...)
		if code != want {
			t.Fatalf("%v: code %d, %s%s", args, code, stdout, stderr)
		}
		return stdout
	}
	key := strings.TrimSpace(do(0, "key", "create", "demo", "--name", "second"))
	do(0, "config", "wait")
	for _, node := range s.Callers() {
		if status, body := sendChat(t, node, key); status != http.StatusOK {
			t.Errorf("new key on %s: %d %s", node, status, body)
		}
	}
	do(0, "key", "withdraw", "second")
	do(0, "config", "wait")
	for _, node := range s.Callers() {
		if status, body := sendChat(t, node, key); status == http.StatusOK || !strings.Contains(body, "KeyWasWithdrawn") {
			t.Errorf("withdrawn key on %s: %d %s", node, status, body)
		}
	}
	if out := do(0, "node", "status"); strings.Count(out, " true ") != 3 {
		t.Error(out)
	}
	do(0, "node", "drain", "node-3")
	poll := time.NewTicker(10 * time.Millisecond)
	defer poll.Stop()
	by := time.After(20 * time.Second)
	for code := 0; code != cmds.CodeUnreachable; {
		select {
		case <-poll.C:
			code, _, _ = run(cmds.System(), s.Platform(), "--admin", admins[2], "node", "status", "node-3")
		case <-by:
			t.Fatal("the drained node still responds")
		}
	}
}

// TestDevOnce guards against a failure of the first command of the README.
func TestDevOnce(t *testing.T) {
	env := cmds.System()
	env.Dev = stack.Dev
	code, stdout, stderr := run(env, "127.0.0.1:1", "dev", "--once")
	if code != 0 || strings.Count(stdout, "200 OK") != 2 {
		t.Errorf("code %d, %s%s", code, stdout, stderr)
	}
}
