package conns

import (
	"net/http"

	"caroblane/io/netio"
)

// CallerLeft reports whether the caller of a request has closed its connection. The server
// learns of it by a read of its own, which a process that is late has yet to make.
func CallerLeft(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	return ok && netio.Peek(c.Conn) == netio.Ended
}
