package plat

import (
	"net"
	"sync"
)

// trackedConn records whether bytes of a request may have been sent. The transport
// writes on its own goroutine, which can continue after the deadline of the
// request. seal stops it, so that the recorded result stays true.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	writes int
	sealed bool
}

// Write counts the write before it starts, and discounts it if no byte was
// written.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, Unsent.New("connection to %s is closed for writes", c.RemoteAddr())
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

func (c *trackedConn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal stops further writes, closes the connection and returns the number of
// writes.
func (c *trackedConn) seal() int {
	c.mu.Lock()
	c.sealed = true
	writes := c.writes
	c.mu.Unlock()
	_ = c.Close()
	return writes
}
