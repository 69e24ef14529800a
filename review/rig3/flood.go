//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// floodSize is the number of connections of the clients that stop just short of the end
	// of a body of floodBody bytes.
	floodSize = 3300
	floodBody = 1000
	// floodTime is how long they come back after they have been refused, and floodPause how
	// long each waits until then.
	floodTime  = 30 * time.Second
	floodPause = 200 * time.Millisecond
	// smallMemoryMB is the memory of the smallest machines of the site.
	smallMemoryMB = 144
	// floodGap is the time between two requests of ordinary clients.
	floodGap = 100 * time.Millisecond
)

// flood keeps a connection to a node on which a chunked body of legal size stops just short of
// its end, and opens another one when the node closes it.
func (r *rig) flood(ctx context.Context, n *node, i int) {
	for turn := 0; ctx.Err() == nil; turn++ {
		c, err := net.DialTimeout("tcp", n.front, time.Second)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = c.Close() })
			text := fmt.Sprintf("POST /draft/1 HTTP/1.1\r\nHost: desk.example\r\nX-Caroblane-Request-Id: flood-%d-%d\r\n"+
				"X-Caroblane-Deadline-Ms: 30000\r\nAuthorization: Token %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s",
				i, turn, apiKey, floodBody, make([]byte, floodBody))
			if _, err := io.WriteString(c, text); err == nil {
				_, _ = io.Copy(io.Discard, c)
			}
			stop()
			_ = c.Close()
		}
		time.Sleep(floodPause)
	}
}

// runFlood shows whether ordinary clients get answers while others keep many connections on
// which a body stops just short of its end.
func runFlood(r *rig) (int, error) {
	for i := range 4 {
		r.addWorker(fmt.Sprintf("i-desk-%d", i), "desk", fmt.Sprintf("z%d", i%3), 15*time.Millisecond)
	}
	r.put("config", "main", plainConfig(1))
	n := r.addNode(0, func(s object) {
		limits := s["limits"].(object)
		limits["maxFds"], limits["memoryMb"], limits["cpuShare"] = maxFDs, smallMemoryMB, 0.144
	})
	if err := r.awaitReady(20 * time.Second); err != nil {
		return codeUnable, err
	}
	if err := n.limitFDs(maxFDs); err != nil {
		return codeUnable, err
	}
	ctx, end := context.WithTimeout(r.ctx, floodTime)
	defer end()
	if r.trouble {
		for i := range floodSize {
			go r.flood(ctx, n, i)
		}
	}
	time.Sleep(3 * time.Second)
	var clients sync.WaitGroup
	var sent, served, refused, late atomic.Int32
	peak := int64(0)
	for i := 0; ctx.Err() == nil; i++ {
		clients.Go(func() {
			c := &caller{address: n.front}
			defer c.close()
			id := fmt.Sprintf("ordinary-%d", i)
			sent.Add(1)
			status, err := c.send(id, routeTimeout+halfSecond)
			r.line("client: %s has status %d, %v", id, status, err)
			switch {
			case err != nil:
				late.Add(1)
			case status == http.StatusOK:
				served.Add(1)
			default:
				refused.Add(1)
			}
		})
		time.Sleep(floodGap)
		if i%20 == 0 {
			used := n.privateBytes() >> 20
			peak = max(peak, used)
			r.line("node %s: %d descriptors of %d, %d MB of %d MB", n.name, n.openFDs(), maxFDs, used, smallMemoryMB)
		}
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	c := &caller{address: n.front}
	status, err := c.send("ordinary-last", routeTimeout)
	r.summary("ordinary requests %d: served %d, refused %d, without any answer 0.5 s after the timeout of their route %d; last one: status %d, %v",
		sent.Load(), served.Load(), refused.Load(), late.Load(), status, err)
	r.summary("peak memory %d MB of %d MB", peak, smallMemoryMB)
	if late.Load() >= leastLate || err != nil || status != http.StatusOK {
		return codeBroken, nil
	}
	return codeHeld, nil
}
