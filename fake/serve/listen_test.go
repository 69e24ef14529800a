package serve_test

import (
	"net"
	"testing"
	"time"

	"caroblane/fake/serve"
)

// TestListenWaits guards against a stand-in that ends because its former socket is still
// held by a process that is being started.
func TestListenWaits(t *testing.T) {
	former, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(100*time.Millisecond, func() { _ = former.Close() })
	listener, err := serve.Listen(t.Context(), former.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
}
