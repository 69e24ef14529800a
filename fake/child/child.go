// Package child starts processes that end with the program that starts them.
package child

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// starter starts processes on one thread that lives as long as the program, because the
// death signal of a process is bound to the thread that started it.
var starter = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

// Start starts a process that gets SIGKILL when this program ends, also when it is killed
// itself. In contrast to other signals, SIGKILL ends a process that SIGSTOP has stopped.
func Start(command *exec.Cmd) error {
	if command.SysProcAttr == nil {
		command.SysProcAttr = &syscall.SysProcAttr{}
	}
	command.SysProcAttr.Pdeathsig = syscall.SIGKILL
	started := make(chan error)
	starter() <- func() { started <- command.Start() }
	return <-started
}
