package slice

import "time"

type eventKind int

const (
	arrivalDue eventKind = iota
	iterationEnded
	transferEnded
	reportDue
	reportReceived
	serveDue
	adjustDue
	roleChanged
	faultDue
)

// event is a scheduled occurrence. The meaning of arg depends on the kind: the
// index of a request or fault, the epoch of an engine, or a number of tokens.
type event struct {
	at         time.Duration
	seq        int
	kind       eventKind
	engine     int
	arg        int
	attempt    int
	measuredAt time.Duration
}

// eventQueue is a heap ordered by time. Events at the same time are ordered by
// when they were scheduled.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// effect is an output of the reducer that the simulation executes: scheduleEvent
// or recordEnd.
type effect interface{ isEffect() }

// scheduleEvent schedules an event after a delay.
type scheduleEvent struct {
	delay time.Duration
	event event
}

// recordEnd records the end of a request: completed, refused or interrupted.
type recordEnd struct{ job job }

func (scheduleEvent) isEffect() {}
func (recordEnd) isEffect()     {}
