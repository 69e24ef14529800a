//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	// apiKey is the key of the tenant.
	apiKey = "k1n2n3d4e5f6g7h8i9j0"
	// bodyLimit is the limit of bodies in the configuration.
	bodyLimit = 4 << 20
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
		"tenants":  []object{{"name": "desk-a", "apiKeys": []string{apiKey}, "unit": "tokens", "plainTokens": 200}},
	}
}

// head returns the head of a request.
func head(method, path, id string, length int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: desk.example\r\nX-Caroblane-Request-Id: %s\r\nX-Caroblane-Deadline-Ms: 4000\r\n"+
		"Authorization: Token %s\r\nContent-Length: %d\r\n\r\n", method, path, id, apiKey, length)
}
