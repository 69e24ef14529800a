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
}

// uploads is the number of long uploads, and uploadSize their size, below maxBodyBytes.
const (
	uploads    = 40
	uploadSize = 4_000_000
)

// resetUpload sends long uploads to workers that answer at once without a length, and in trouble
// reset the connection within the answer while the upload is still being written.
func resetUpload(log *record, trouble bool) int {
	d := newDeployment(log)
	defer d.close()
	d.addNode("za")
	whole := strings.Repeat("0123456789", 200)
	w := d.newWorker("i-1", "app", "za")
	w.handle = func(rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Caroblane-Request-Id")
		conn, buffered, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Caroblane-Request-Id: %s\r\nX-Caroblane-Server-Stamp: stamp.i-1\r\nConnection: close\r\n\r\n", id)
		_, _ = io.WriteString(conn, head+whole[:700])
		time.Sleep(50 * time.Millisecond)
		if trouble {
			log.add("worker i-1 resets %s after 700 of %d bytes of its answer", id, len(whole))
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		// A sound worker reads the rest of the request, sends the rest of its answer and closes.
		_, _ = io.CopyN(io.Discard, buffered, r.ContentLength)
		_, _ = io.WriteString(conn, whole[700:])
	}
	d.start(config(1), []*worker{w})
	time.Sleep(2 * time.Second)
	body := bytes.Repeat([]byte("u"), uploadSize)
	cut := 0
	for i := range uploads {
		r := d.nodes[0].send(http.MethodPost, fmt.Sprintf("/send/%d", i), key, 5*time.Second, body)
		if r.status/100 == 2 && r.complete && r.body != whole {
			cut++
		}
	}
	return log.verdict(cut > 0, "MIXED: %d of %d uploads were answered 200 with a complete answer that has a part of the worker's body", cut, uploads)
}
