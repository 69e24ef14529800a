package cmds_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"caroblane/io/cmds"
	"caroblane/stack"
)

// TestWithdrawalReachesNodesWithoutPlatform guards against a withdrawn key that
// still works on nodes that cannot reach the platform. The command must push
// the change to them, because the operator's machine can reach both.
func TestWithdrawalReachesNodesWithoutPlatform(t *testing.T) {
	s := startStack(t)
	poll := time.NewTicker(10 * time.Millisecond)
	defer poll.Stop()
	by := time.After(20 * time.Second)
	for members := 0; members < 3; {
		select {
		case <-poll.C:
			_, stdout, _ := run(cmds.System(), s.Platform(), "node", "list")
			members = strings.Count(stdout, "local-")
		case <-by:
			t.Fatal("the roster does not list three nodes")
		}
	}
	faults := `{"DropClients":["node-1","node-2","node-3"]}`
	if err := sendRequest(http.MethodPost, "http://"+s.Platform()+"/faults", faults); err != nil {
		t.Fatal(err)
	}
	code, stdout, stderr := run(cmds.System(), s.Platform(), "key", "withdraw", "demo-1")
	if code != 0 || !strings.Contains(stdout, "Key/demo-1 updated") || !strings.Contains(stderr, "pushed to 3 of 3 nodes") {
		t.Errorf("code %d, %s%s", code, stdout, stderr)
	}
	for _, node := range s.Callers() {
		if status, body := sendChat(t, node, stack.Key); status != http.StatusUnauthorized || !strings.Contains(body, "KeyWasWithdrawn") {
			t.Errorf("%s: %d %s", node, status, body)
		}
	}
}
