package conns

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// takeOverQueue accepts the connections that wait in the kernel. A server whose Accept fails
// meanwhile waits for the mutex in takeQueued, so that it does not miss them.
func (l *Listener) takeOverQueue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, accepted := range acceptQueued(l.Listener) {
		c := &conn{Conn: accepted, listener: l, since: l.options.Now()}
		l.open[c] = struct{}{}
		l.queued = append(l.queued, c)
	}
}

// takeQueued returns a connection that waited to be accepted when the drain began, or nil.
func (l *Listener) takeQueued() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queued) == 0 {
		return nil
	}
	c := l.queued[0]
	l.queued = l.queued[1:]
	return c
}

// acceptQueued accepts the connections that the kernel has opened for a listener, and makes
// it refuse further ones. Closing the listener alone would reset them, although their
// callers may have sent requests.
func acceptQueued(l net.Listener) []net.Conn {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	var accepted []net.Conn
	// An error means that the listener is closed.
	_ = raw.Control(func(listener uintptr) {
		for {
			fd, _, err := syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
				continue
			}
			if err != nil {
				break
			}
			if c := newConn(fd); c != nil {
				accepted = append(accepted, c)
			}
		}
		_ = syscall.Shutdown(int(listener), syscall.SHUT_RDWR)
	})
	return accepted
}

// newConn returns the connection of a file descriptor, which it takes over, or nil.
func newConn(fd int) net.Conn {
	file := os.NewFile(uintptr(fd), "caller")
	// FileConn duplicates the descriptor.
	defer func() { _ = file.Close() }()
	c, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return c
}
