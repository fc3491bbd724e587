// Package eventqueue is the event queue of the discrete-event simulations in
// which tests run steps on a virtual clock.
package eventqueue

import (
	"container/heap"

	"celeryhook.example/celeryhook/internal/core"
)

// Event is a function scheduled for a time on the virtual clock.
type Event struct {
	At  core.Instant
	Run func()
	seq uint64
}

// Queue holds pending events, ordered by time. Events of the same time are
// returned in the order in which they were added. The zero value is empty.
type Queue struct {
	events  eventHeap
	lastSeq uint64
}

// Add schedules run at a time.
func (q *Queue) Add(at core.Instant, run func()) {
	q.lastSeq++
	heap.Push(&q.events, Event{At: at, Run: run, seq: q.lastSeq})
}

// Next removes and returns the earliest event, or returns false if none is due
// by end.
func (q *Queue) Next(end core.Instant) (Event, bool) {
	if len(q.events) == 0 || q.events[0].At.After(end) {
		return Event{}, false
	}
	return heap.Pop(&q.events).(Event), true
}

// eventHeap implements heap.Interface.
type eventHeap []Event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].At < h[j].At || h[i].At == h[j].At && h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(Event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
