//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"caroblane/platform/stub"
)

const (
	apiKey = "i9n73hh2b9wu3fexd9dn"
	host   = "desk.example"
	// serviceName is the service of all workers.
	serviceName = "handover"
	// callerDeadline is how long callers wait.
	callerDeadline = 1500 * time.Millisecond
)

// caller sends requests to nodes on kept connections.
type caller struct {
	in     *installation
	client *http.Client
	// nodes are those that get the load, and tokens what each of its requests counts, or
	// empty.
	nodes  []*node
	tokens string
}

func (in *installation) newCaller() *caller {
	return &caller{in: in, nodes: in.nodes, client: &http.Client{
		Timeout: callerDeadline + time.Second,
		Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true,
		},
	}}
}

// sent is one request with its answer. Status zero means that there was no whole answer.
type sent struct {
	id, node string
	at       time.Time
	status   int
	// stamped is set if the answer is that of a worker.
	stamped bool
	err     error
}

// nextID returns a request ID that was not used before, for a request to a node.
func (in *installation) nextID(n *node) string {
	in.mu.Lock()
	defer in.mu.Unlock()
	id := fmt.Sprintf("q%07d", len(in.sentTo))
	in.sentTo[id] = n.name
	return id
}

// nodeOf returns the node to which a request was sent.
func (in *installation) nodeOf(id string) string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.sentTo[id]
}

// send sends a request and waits for its answer.
func (c *caller) send(ctx context.Context, n *node, method, path, tokens, body string) sent {
	s := sent{id: c.in.nextID(n), node: n.name, at: time.Now()}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.frontAddr+path, strings.NewReader(body))
	if err != nil {
		s.err = err
		return s
	}
	request.Host = host
	request.Header.Set(stub.HeaderRequestID, s.id)
	request.Header.Set(stub.HeaderDeadline, fmt.Sprint(callerDeadline.Milliseconds()))
	request.Header.Set("Authorization", stub.KeyScheme+apiKey)
	if tokens != "" {
		request.Header.Set(stub.HeaderTokenCount, tokens)
	}
	c.in.rec.add("%s is sent %s %s %s", n.name, s.id, method, path)
	response, err := c.client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if s.err = err; err != nil {
		c.in.rec.add("%s gets no whole answer: %v", s.id, err)
		return s
	}
	s.status, s.stamped = response.StatusCode, response.Header.Get(stub.HeaderStamp) != ""
	c.in.rec.add("%s is answered %d, stamp %v", s.id, s.status, s.stamped)
	return s
}

// load sends requests at a rate to the nodes in turn until the context ends, and returns
// them all.
func (c *caller) load(ctx context.Context, perSecond int, method, path string) []sent {
	var mu sync.Mutex
	var all []sent
	var open sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			open.Wait()
			return all
		case <-ticker.C:
		}
		open.Go(func() {
			s := c.send(context.WithoutCancel(ctx), c.nodes[i%len(c.nodes)], method, fmt.Sprintf("%s%d", path, i), c.tokens, "")
			mu.Lock()
			defer mu.Unlock()
			all = append(all, s)
		})
	}
}

// counts returns the number of requests by status.
func counts(all []sent) map[int]int {
	n := map[int]int{}
	for _, s := range all {
		n[s.status]++
	}
	return n
}

// plainSite is a configuration with a plain service, which has a route for safe and one
// for unsafe requests.
func plainSite() object { return site(1e6, 1e6) }

func site(rate, burst float64) object {
	route := func(name, prefix, kind string, attempts int) object {
		return object{
			"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 800, "targetLatencyMs": 100,
			"priority": 2, "service": serviceName, "maxAttempts": attempts, "public": false, "resumable": false,
		}
	}
	return object{
		"version":  7,
		"routes":   []object{route("r-status", "/status/", "safe", 2), route("r-confirm", "/confirm/", "unsafe", 1)},
		"services": []object{{"name": serviceName, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []object{{
			"name": "hule930", "apiKeys": []string{apiKey}, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": rate, "burst": burst,
		}},
	}
}
