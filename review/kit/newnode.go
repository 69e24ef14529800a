//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// spareRate and spareBurst are the limit of the client account, with a burst as large
	// as the rate of one second.
	spareRate  = 100_000
	spareBurst = 100_000
	// cutFor is how long the new machine is cut off from the others.
	cutFor = 6 * time.Second
)

func init() { scenarios["new-node-cut"] = entry{newNodeCut, spareSite} }

// spareSite is the configuration with a limit that callers reach.
func spareSite() object { return site(spareRate, spareBurst) }

// newNodeCut replaces a node by one at another address, which is cut off from the remaining
// node when it starts, while a client account asks for more than its limit.
func newNodeCut(ctx context.Context, in *installation) (bool, error) {
	for i := range 4 {
		if _, err := in.newWorker(ctx, fmt.Sprintf("i-%d", i+1), 64, 5*time.Millisecond); err != nil {
			return false, err
		}
	}
	last := len(in.nodes) - 1
	remaining, removed := in.nodes[:last], in.nodes[last]
	added, err := in.newNodeAtFront("front-a-9")
	if err != nil {
		return false, err
	}
	stopFirst := in.press(ctx, in.nodes, hotRate)
	sleep(ctx, 12*time.Second)
	stopFirst()
	removed.terminate()
	in.rec.say("%s gets SIGTERM and is removed for good", removed.name)
	stopRemaining := in.press(ctx, remaining, hotRate*last/nodeCount)
	sleep(ctx, time.Second)
	if err := added.start(); err != nil {
		return false, err
	}
	in.nodes = append(in.nodes, added)
	in.rec.say("%s starts at another address, cut off from the others: %v", added.name, trouble())
	if err := added.awaitReady(ctx); err != nil {
		return false, err
	}
	stopAdded := in.press(ctx, []*node{added}, hotRate/nodeCount)
	sleep(ctx, cutFor-added.runsFor())
	stopRemaining()
	stopAdded()
	return in.overLimit(spareRate, spareBurst), nil
}

// newNodeAtFront returns a node that is not started. With trouble, it reads the store at an
// address that shows all other nodes at an address where nobody answers, and it is shown
// there to the others.
func (in *installation) newNodeAtFront(name string) (*node, error) {
	store := in.storeAddress
	if !trouble() {
		return in.newNode(name, store, in.dutiesAddress)
	}
	cutAddress, frontAddress := in.address(), in.address()
	silent, err := net.Listen("tcp", cutAddress)
	if err != nil {
		return nil, err
	}
	go holdConns(silent)
	n, err := in.newNode(name, frontAddress, in.dutiesAddress)
	if err != nil {
		return nil, err
	}
	front := &cutFront{next: in.front, own: n.peers, dead: cutAddress}
	for _, other := range in.nodes {
		front.others = append(front.others, other.peers)
	}
	l, err := net.Listen("tcp", frontAddress)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: front}
	go func() { _ = server.Serve(l) }()
	in.servers = append(in.servers, server)
	return n, nil
}

// holdConns accepts connections and never answers.
func holdConns(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(io.Discard, c) }()
	}
}

// cutFront passes calls on to the store, with the addresses of nodes replaced, so that the
// node behind it and the others cannot reach each other.
type cutFront struct {
	next      http.Handler
	own, dead string
	others    []string
}

// ServeHTTP implements http.Handler.
func (f *cutFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/-/objects/Member") {
		f.next.ServeHTTP(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	body = bytes.ReplaceAll(body, []byte(f.own), []byte(f.dead))
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	answer := &buffered{header: http.Header{}, status: http.StatusOK}
	f.next.ServeHTTP(answer, r)
	text := bytes.ReplaceAll(answer.body, []byte(f.dead), []byte(f.own))
	for _, other := range f.others {
		text = bytes.ReplaceAll(text, []byte(other), []byte(f.dead))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.status)
	_, _ = w.Write(text)
}
