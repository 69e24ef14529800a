package child_test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"caroblane/fake/child"
)

// roleVariable tells this test program to act as one of the processes of the test.
const roleVariable = "CHILD_TEST_ROLE"

func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case "parent":
		command := exec.Command(os.Args[0])
		command.Env = append(os.Environ(), roleVariable+"=child")
		if err := child.Start(command); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		if err := command.Process.Signal(syscall.SIGSTOP); err != nil {
			fmt.Println(err)
		}
		fmt.Println(command.Process.Pid)
		time.Sleep(time.Minute)
	case "child":
		time.Sleep(time.Minute)
	default:
		os.Exit(m.Run())
	}
}

// state returns the state of a process as /proc names it, or nothing if it is gone.
func state(pid int) string {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ""
	}
	// The state follows the name of the program, which is in parentheses.
	_, rest, _ := strings.Cut(string(stat), ") ")
	return rest[:1]
}

// await waits until a process is in one of several states.
func await(t *testing.T, pid int, states ...string) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !slices.Contains(states, state(pid)); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("process %d is in state %q, want one of %q", pid, state(pid), states)
		}
	}
}

// TestStoppedChildEndsWithParent guards against a process that SIGSTOP has stopped and that
// is left behind when the program that started it is killed.
func TestStoppedChildEndsWithParent(t *testing.T) {
	parent := exec.Command(os.Args[0])
	parent.Env = append(os.Environ(), roleVariable+"=parent")
	out, err := parent.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := parent.Start(); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(line))
	if err != nil {
		t.Fatalf("the parent says %q", line)
	}
	t.Cleanup(func() { _ = syscall.Kill(pid, syscall.SIGKILL) })
	await(t, pid, "T")
	if err := parent.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = parent.Wait()
	// A process whose new parent does not wait for it stays as a zombie.
	await(t, pid, "Z", "X", "")
}
