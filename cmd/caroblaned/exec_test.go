package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"caroblane/fake/child"
)

// process is a program that was started by a test.
type process struct {
	command *exec.Cmd
	exited  chan error
	log     *syncBuffer
}

// syncBuffer collects the output of a process. It is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// startProcess starts a program and stops it at the end of the test, also if the test
// program is killed before. For a fake server it waits for the address and writes it to
// the log, so that the log starts with it.
func startProcess(t testing.TB, name string, args ...string) *process {
	t.Helper()
	dir, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{command: exec.Command(filepath.Join(dir, name), args...), exited: make(chan error, 1), log: &syncBuffer{}}
	p.command.Stderr = p.log
	out, err := p.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(p.command); err != nil {
		t.Fatal(err)
	}
	first := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			select {
			case first <- lines.Text():
			default:
			}
		}
		p.exited <- p.command.Wait()
	}()
	t.Cleanup(func() { p.kill() })
	if name == "caroblane-fake" {
		select {
		case line := <-first:
			_, address, _ := strings.Cut(line, "address=")
			_, _ = p.log.Write([]byte(address))
		case <-time.After(waitTimeout):
			t.Fatalf("%s %v did not start", name, args)
		}
	}
	return p
}

// kill sends SIGKILL, which also stops a paused process, and waits for the exit.
func (p *process) kill() {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	select {
	case err := <-p.exited:
		p.exited <- err
	case <-time.After(waitTimeout):
	}
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
	if s != syscall.SIGSTOP {
		return
	}
	// The call returns before all threads of the process have stopped.
	for deadline := time.Now().Add(10 * time.Second); !p.stopped(t); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("process %d has not stopped 10 s after SIGSTOP", p.command.Process.Pid)
		}
	}
}

// stopped reports whether the process is stopped by a signal.
func (p *process) stopped(t *testing.T) bool {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	// The state follows the name of the program, which is in parentheses.
	_, state, _ := strings.Cut(string(stat), ") ")
	return strings.HasPrefix(state, "T")
}

// waitExitCode waits until the process exits and returns its exit code.
func (p *process) waitExitCode(t *testing.T) int {
	t.Helper()
	select {
	case err := <-p.exited:
		p.exited <- err
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			return exit.ExitCode()
		}
		return 0
	case <-time.After(waitTimeout):
		t.Fatal("process did not exit")
		return 0
	}
}
