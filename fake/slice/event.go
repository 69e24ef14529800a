package slice

import "time"

type kind int

const (
	arrive kind = iota
	iterate
	join
	report
	reported
	serve
	adjust
	changed
	fault
)

// event is what happens at a time. The meaning of n depends on the kind: the
// number of a request or fault, the epoch of an engine, or reported tokens.
type event struct {
	at      time.Duration
	seq     int
	kind    kind
	engine  int
	n       int
	run     int
	measure time.Duration
}

// events is a heap by time, and by order of scheduling at the same time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// effect is what the loop carries out for the reducer: scheduled or ended.
type effect interface{ isEffect() }

// scheduled is an event after a time.
type scheduled struct {
	after time.Duration
	event event
}

// ended is a request that was answered, refused or cut.
type ended struct{ job job }

func (scheduled) isEffect() {}
func (ended) isEffect()     {}
