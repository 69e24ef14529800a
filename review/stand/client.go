//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// host and key are those of all requests.
const (
	host   = "h.example"
	tenant = "tenant-x"
	key    = "key-of-tenant-x-0123456789"
)

// lastID numbers the requests.
var lastID atomic.Int64

// reply is what a client got.
type reply struct {
	id       string
	sentAt   time.Time
	status   int
	header   http.Header
	body     string
	err      error
	complete bool
}

// send sends one request on a new connection, as a client attempt with its own id.
func (n *node) send(method, path, apiKey string, deadline time.Duration, body []byte) reply {
	return n.sendWith(method, path, apiKey, deadline, body, nil)
}

// sendWith is send with further headers.
func (n *node) sendWith(method, path, apiKey string, deadline time.Duration, body []byte, header map[string]string) reply {
	id := fmt.Sprintf("%016x", 0x1c41d07be2a00000+lastID.Add(1))
	var content io.Reader
	if body != nil {
		content = bytes.NewReader(body)
	}
	request, err := http.NewRequest(method, "http://"+n.front+path, content)
	check(err, "make a request")
	request.Host = host
	request.Header.Set("X-Caroblane-Request-Id", id)
	request.Header.Set("X-Caroblane-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if apiKey != "" {
		request.Header.Set("Authorization", "Token "+apiKey)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	r := reply{id: id, sentAt: time.Now()}
	response, err := client.Do(request)
	if err != nil {
		r.err = err
		n.deployment.log.add("client: %s %s %s to %s: %v", id, method, path, n.name, err)
		return r
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	r.status, r.header, r.body, r.err, r.complete = response.StatusCode, response.Header, string(data), err, err == nil
	n.deployment.log.add("client: %s %s %s to %s: %d, %d bytes, complete %v, stamp %q, %.60q",
		id, method, path, n.name, r.status, len(data), r.complete, response.Header.Get("X-Caroblane-Server-Stamp"), r.body)
	return r
}

// config returns a configuration. Each change is applied to it.
func config(version int, changes ...func(map[string]any)) map[string]any {
	c := map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("read", "/read/", "safe", "app"),
			route("send", "/send/", "unsafe", "app"),
		},
		"services": []map[string]any{service("app"), service("app2")},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
		"tenants":  []map[string]any{{"name": tenant, "apiKeys": []string{key}}},
	}
	for _, change := range changes {
		change(c)
	}
	return c
}

func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 2000, "targetLatencyMs": 100, "priority": 2,
		"service": service, "maxAttempts": 2, "public": false, "sticky": false, "resumable": false,
	}
}

func service(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false}
}
