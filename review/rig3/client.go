//go:build review

package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// dialer sends single requests, each on a connection of its own.
type dialer struct{ timeout time.Duration }

// once sends a request and returns the status and the body of the answer.
func (d dialer) once(address, head string, body []byte) (int, string, error) {
	c, err := net.DialTimeout("tcp", address, d.timeout)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(d.timeout))
	if _, err := c.Write(append([]byte(head), body...)); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}
