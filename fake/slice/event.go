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

type event struct {
	at      time.Duration
	seq     int
	kind    kind
	m       *machine
	j       *job
	n       int
	measure time.Duration
}

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
