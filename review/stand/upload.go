//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() {
	cases["reset-upload"] = resetUpload
	cases["reset-stream"] = resetStream
}

// uploads is the number of long uploads, and uploadSize their size, below maxBodyBytes.
const (
	uploads    = 40
	uploadSize = 4_000_000
)

// resetUpload sends long uploads to workers that answer at once without a length, and in trouble
// reset the connection within the answer while the upload is still being written.
func resetUpload(log *record, trouble bool) int {
	whole := strings.Repeat("0123456789", 200)
	replies := sendUploads(log, "/send/", earlyAnswer{first: whole[:700], rest: whole[700:], reset: trouble})
	cut := 0
	for _, r := range replies {
		if r.status/100 == 2 && r.complete && r.body != whole {
			cut++
		}
	}
	return log.verdict(cut > 0, "MIXED: %d of %d uploads were answered 200 with a complete answer that has a part of the worker's body", cut, uploads)
}

// resetStream is resetUpload with an answer that is a stream of events, which breaks off between
// two of them.
func resetStream(log *record, trouble bool) int {
	events := func(from, to int) string {
		var text strings.Builder
		for i := from; i <= to; i++ {
			fmt.Fprintf(&text, "id: %d\ndata: event %d of 6\n\n", i, i)
		}
		return text.String()
	}
	replies := sendUploads(log, "/watch/", earlyAnswer{first: events(1, 3), rest: events(4, 6), kind: "text/event-stream", reset: trouble})
	cut := 0
	for _, r := range replies {
		if r.status/100 == 2 && r.complete && r.body != events(1, 6) {
			cut++
		}
	}
	return log.verdict(cut > 0, "ORDER: %d of %d streams ended as complete before their last event", cut, uploads)
}

// earlyAnswer is an answer without a length that begins before the request has been read.
type earlyAnswer struct {
	// first is sent at once, and rest once the request has been read.
	first, rest string
	kind        string
	// reset ends the connection in place of rest.
	reset bool
}

// sendUploads sends long uploads to a worker that gives early answers.
func sendUploads(log *record, path string, answer earlyAnswer) []reply {
	d := newDeployment(log)
	defer d.close()
	d.addNode("za")
	w := d.newWorker("i-1", "app", "za")
	w.handle = func(rw http.ResponseWriter, r *http.Request) { answer.send(log, rw, r) }
	streams := func(c map[string]any) {
		c["routes"] = append(c["routes"].([]map[string]any), route("watch", "/watch/", "streaming", "app"))
	}
	d.start(config(1, streams), []*worker{w})
	time.Sleep(2 * time.Second)
	body := bytes.Repeat([]byte("u"), uploadSize)
	var replies []reply
	for i := range uploads {
		replies = append(replies, d.nodes[0].send(http.MethodPost, fmt.Sprintf("%s%d", path, i), key, 5*time.Second, body))
	}
	return replies
}

func (a earlyAnswer) send(log *record, rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Caroblane-Request-Id")
	conn, buffered, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Caroblane-Request-Id: %s\r\nX-Caroblane-Server-Stamp: stamp.i-1\r\nConnection: close\r\n", id)
	if a.kind != "" {
		head += "Content-Type: " + a.kind + "\r\n"
	}
	_, _ = io.WriteString(conn, head+"\r\n"+a.first)
	time.Sleep(50 * time.Millisecond)
	if a.reset {
		log.add("worker i-1 resets %s after %d of %d bytes of its answer", id, len(a.first), len(a.first)+len(a.rest))
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
	// A sound worker reads the rest of the request, sends the rest of its answer and closes.
	_, _ = io.CopyN(io.Discard, buffered, r.ContentLength)
	_, _ = io.WriteString(conn, a.rest)
}
