package plat

import (
	"net"
	"sync"
)

// markedConn tells whether a call may have left this process. The transport
// writes on a goroutine of its own, which may go on after the call's deadline;
// seal stops that, so that the answer does not change afterwards.
type markedConn struct {
	net.Conn

	mu     sync.Mutex
	writes int
	sealed bool
}

// Write counts the write before it starts, and takes it back if no byte left.
func (c *markedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, Unsent.New("connection to %s is sealed", c.RemoteAddr())
	}
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil {
		c.mu.Lock()
		c.writes--
		c.mu.Unlock()
	}
	return n, err
}

// count returns the number of writes up to now.
func (c *markedConn) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal lets no further byte out and returns the number of writes.
func (c *markedConn) seal() int {
	c.mu.Lock()
	c.sealed = true
	writes := c.writes
	c.mu.Unlock()
	_ = c.Close()
	return writes
}
