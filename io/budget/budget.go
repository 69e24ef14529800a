// Package budget limits the memory that concurrent requests hold together.
package budget

import (
	"errors"
	"io"
	"sync"

	"github.com/joomcode/errorx"
)

// minBuffer is the size in bytes of the first buffer of ReadAll.
const minBuffer = 512

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("budget")

// Spent means that a share may not grow any further.
var Spent = Errors.NewType("spent").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Budget is a number of bytes for all requests. It is safe for concurrent use.
type Budget struct {
	mu   sync.Mutex
	free int64
}

// Share is the part of a budget that one request holds. It is safe for concurrent use.
type Share struct {
	budget *Budget
	held   int64
	closed bool
}

// New returns a budget of a number of bytes.
func New(bytes int64) *Budget { return &Budget{free: bytes} }

// Free returns the number of bytes that no share holds.
func (b *Budget) Free() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free
}

// Open returns an empty share.
func (b *Budget) Open() *Share { return &Share{budget: b} }

// Grow adds bytes to the share, or reports false. A share may hold no more than what is
// left free: the largest ones are the first that cannot grow, and some room always remains
// for small ones.
func (s *Share) Grow(bytes int64) bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.closed || s.held+bytes > s.budget.free-bytes {
		return false
	}
	s.held += bytes
	s.budget.free -= bytes
	return true
}

// Held returns the number of bytes of the share.
func (s *Share) Held() int64 {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.held
}

// Shrink returns all but a number of bytes to the budget.
func (s *Share) Shrink(held int64) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.shrink(held)
}

// Close returns the share to the budget. It cannot grow again.
func (s *Share) Close() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.shrink(0)
	s.closed = true
}

func (s *Share) shrink(held int64) {
	if held < s.held {
		s.budget.free += s.held - held
		s.held = held
	}
}

// ReadAll reads until the end of the input, and counts the buffer, whose size doubles, in
// the share. The error is of type Spent if the share cannot hold it.
func ReadAll(r io.Reader, share *Share) ([]byte, error) {
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			size := max(minBuffer, 2*cap(buffer))
			if !share.Grow(int64(size - cap(buffer))) {
				return nil, Spent.New("no memory for more than %d bytes", len(buffer))
			}
			buffer = append(make([]byte, 0, size), buffer...)
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, err
		}
	}
}
