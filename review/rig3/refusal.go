//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"caroblane/platform/stub"
)

const (
	// failEach is the share of its requests that a worker in trouble fails, as one in so many.
	failEach = 3
	// refusalTime is how long the clients send, and refusalGap the time between two sends.
	refusalTime = 12 * time.Second
	refusalGap  = 25 * time.Millisecond
)

// promises reports whether a status promises that a request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// runRefusal shows whether a client is told that a request has not run which has run.
func runRefusal(r *rig) (int, error) {
	for i := range 3 {
		w := r.addWorker(fmt.Sprintf("i-desk-%d", i), "desk", fmt.Sprintf("z%d", i%3), 15*time.Millisecond)
		if i > 0 || !r.trouble {
			continue
		}
		var runs atomic.Int32
		w.fail = func(out http.ResponseWriter) bool {
			if runs.Add(1)%failEach != 0 {
				return false
			}
			// The run has failed. The answer does not say that it was not executed.
			out.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprintln(out, "printer queue unavailable")
			return true
		}
	}
	r.put(stub.KindConfig, stub.ConfigName, plainConfig(1))
	for i := range 2 {
		r.addNode(i, nil)
	}
	if err := r.awaitReady(20 * time.Second); err != nil {
		return codeUnable, err
	}
	var sent, answered, untrue, twice atomic.Int32
	// attempt sends an operation once, and reports whether the client may send it again, and
	// whether it ran.
	attempt := func(n *node, id string) (again, ran bool) {
		r.line("client: sends %s", id)
		sent.Add(1)
		status, text, err := dialer{4 * time.Second}.once(n.front, head("POST", "/send/1", id, 4), []byte("body"))
		ran = r.runs(id) > 0
		r.line("client: %s has status %d, %q, %v; ran %v", id, status, text, err, ran)
		if err == nil && status == http.StatusOK {
			answered.Add(1)
		}
		again = err == nil && promises(status)
		if again && ran {
			untrue.Add(1)
		}
		return again, ran
	}
	var clients sync.WaitGroup
	until := time.Now().Add(refusalTime)
	for i := 0; time.Now().Before(until); i++ {
		clients.Go(func() {
			id := fmt.Sprintf("op-%d", i)
			again, ran := attempt(r.nodes[i%2], id+"-a")
			if !again {
				return
			}
			if _, ranAgain := attempt(r.nodes[(i+1)%2], id+"-b"); ran && ranAgain {
				twice.Add(1)
			}
		})
		time.Sleep(refusalGap)
	}
	clients.Wait()
	r.summary("requests %d, answered with success %d; answered as not run though they ran %d; operations that ran twice since the client was told so %d",
		sent.Load(), answered.Load(), untrue.Load(), twice.Load())
	if untrue.Load() > 0 {
		return codeBroken, nil
	}
	return codeHeld, nil
}
