//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"caroblane/platform/stub"
)

const (
	crowdKey = "k1n2n3d4e5f6g7h8i9j0"
	// bodyLimit is the limit of bodies in the configuration, and memoryMB the memory of a
	// machine in its settings. Both are those of a small deployment.
	bodyLimit = 4 << 20
	memoryMB  = 284
	// crowdSize is the number of large bodies that a node gets at once, and crowdRate the
	// bytes that all of them send in a second, which is below what the link of a machine
	// carries.
	crowdSize = 100
	crowdRate = 100 << 20
	// crowdWaves is how often the crowd comes, each time for crowdStay.
	crowdWaves = 3
	crowdStay  = 9 * time.Second
	// restartDelay is the time until the platform starts a process again.
	restartDelay = 500 * time.Millisecond
)

// plainConfig returns a configuration with one service and a route of each kind.
func plainConfig(version int) object {
	route := func(name, kind string, timeoutMS, attempts int) object {
		return object{
			"name": name, "host": "desk.example", "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": timeoutMS,
			"targetLatencyMs": 100, "priority": 1, "service": "desk", "maxAttempts": attempts, "public": false,
		}
	}
	return object{
		"version":  version,
		"routes":   []object{route("read", "safe", 4000, 2), route("send", "unsafe", 4000, 1), route("draft", "streaming", 10000, 1)},
		"services": []object{{"name": "desk", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": bodyLimit, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []object{{"name": "desk-a", "apiKeys": []string{crowdKey}, "unit": "tokens", "plainTokens": 200}},
	}
}

// head returns the head of a request.
func head(method, path, id string, length int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: desk.example\r\nX-Caroblane-Request-Id: %s\r\nX-Caroblane-Deadline-Ms: 4000\r\n"+
		"Authorization: Token %s\r\nContent-Length: %d\r\n\r\n", method, path, id, crowdKey, length)
}

// crowd sends bodies of legal size to a node at once, which stop one byte before their end
// and stay open.
func (r *rig) crowd(n *node) {
	var sending sync.WaitGroup
	piece := make([]byte, 64<<10)
	pause := time.Duration(float64(len(piece)*crowdSize) / crowdRate * float64(time.Second))
	for i := range crowdSize {
		sending.Go(func() {
			c, err := net.DialTimeout("tcp", n.front, time.Second)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			ended := time.Now().Add(crowdStay)
			_ = c.SetDeadline(ended)
			id := fmt.Sprintf("crowd-%s-%d-%d", n.name, time.Now().UnixNano(), i)
			if _, err := io.WriteString(c, head("POST", "/send/1", id, bodyLimit)); err != nil {
				return
			}
			for left := bodyLimit - 1; left > 0; {
				sent, err := c.Write(piece[:min(left, len(piece))])
				if left -= sent; err != nil {
					return
				}
				time.Sleep(pause)
			}
			_, _ = io.Copy(io.Discard, c)
		})
	}
	sending.Wait()
}

// runCrowd shows whether clients that send many large bodies end processes. It ends a process
// whose memory is above that of its machine, as the platform does, and starts it again.
func runCrowd(r *rig) (int, error) {
	for i := range 4 {
		r.addWorker(fmt.Sprintf("i-desk-%d", i), "desk", fmt.Sprintf("z%d", i%3), 15*time.Millisecond)
	}
	r.put(stub.KindConfig, stub.ConfigName, plainConfig(1))
	for i := range 3 {
		r.addNode(i, nil)
	}
	if err := r.awaitReady(20 * time.Second); err != nil {
		return codeUnable, err
	}
	var over, ended atomic.Int32
	var peak atomic.Int64
	stopped := make(chan struct{})
	var watching sync.WaitGroup
	for _, n := range r.nodes {
		watching.Go(func() {
			for {
				select {
				case <-stopped:
					return
				case <-n.exited:
					ended.Add(1)
					time.Sleep(restartDelay)
					n.start()
				case <-time.After(5 * time.Millisecond):
					used := n.privateBytes()
					if used > peak.Load() {
						peak.Store(used)
					}
					if used > memoryMB<<20 {
						r.line("node %s: has %d MB of %d MB, ended by the platform", n.name, used>>20, memoryMB)
						over.Add(1)
						<-n.signal(syscall.SIGKILL)
					}
				}
			}
		})
	}
	var ordinary, answered, lost atomic.Int32
	send := func(n *node, i int) {
		id := fmt.Sprintf("ordinary-%s-%d", n.name, i)
		r.line("client: sends %s", id)
		status, text, err := dialer{4 * time.Second}.once(n.front, head("POST", "/send/1", id, 4), []byte("body"))
		ordinary.Add(1)
		switch ran := r.runs(id); {
		case err == nil && status == 200:
			answered.Add(1)
		case ran > 0:
			lost.Add(1)
			r.line("client: %s ran and has no answer", id)
		}
		r.line("client: %s has status %d, %q, %v", id, status, text, err)
	}
	var clients sync.WaitGroup
	for _, n := range r.nodes {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stopped:
					return
				case <-time.After(50 * time.Millisecond):
				}
				clients.Go(func() { send(n, i) })
			}
		})
	}
	time.Sleep(3 * time.Second)
	for wave := range crowdWaves {
		var crowds sync.WaitGroup
		if r.trouble {
			r.line("crowd: wave %d begins", wave)
			for _, n := range r.nodes {
				crowds.Go(func() { r.crowd(n) })
			}
		}
		crowds.Go(func() { time.Sleep(crowdStay) })
		crowds.Wait()
		time.Sleep(3 * time.Second)
	}
	close(stopped)
	clients.Wait()
	watching.Wait()
	status, _, err := dialer{4 * time.Second}.once(r.nodes[0].front, head("POST", "/send/1", "ordinary-last", 4), []byte("body"))
	r.summary("ordinary requests %d, answered %d, ran without an answer %d; last one: status %d, %v", ordinary.Load(), answered.Load(), lost.Load(), status, err)
	r.summary("peak memory %d MB of %d MB; processes over their memory: %d; processes that ended: %d", peak.Load()>>20, memoryMB, over.Load(), ended.Load())
	if over.Load() > 0 || ended.Load() > 0 || err != nil || status != 200 {
		return codeBroken, nil
	}
	return codeHeld, nil
}
