// Package virtual keeps the events of a virtual clock in order. Tests of pure
// steps share it.
package virtual

import (
	"container/heap"

	"celeryhook.example/celeryhook/internal/core"
)

// Event is something that happens at an instant.
type Event struct {
	At     core.Instant
	Do     func()
	number uint64
}

// Queue holds events that have not happened. Those of the same instant happen in
// the order in which they were added. The zero value is empty.
type Queue struct {
	events events
	added  uint64
}

// Add adds an event.
func (q *Queue) Add(at core.Instant, do func()) {
	q.added++
	heap.Push(&q.events, Event{At: at, Do: do, number: q.added})
}

// Next removes and returns the next event, and reports false if none happens
// before or at the end.
func (q *Queue) Next(end core.Instant) (Event, bool) {
	if len(q.events) == 0 || q.events[0].At.After(end) {
		return Event{}, false
	}
	return heap.Pop(&q.events).(Event), true
}

// events implements heap.Interface.
type events []Event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].At < e[j].At || e[i].At == e[j].At && e[i].number < e[j].number
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(Event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
