package front

import (
	"celeryhook.example/celeryhook/internal/core"
)

// queue holds the requests that wait for a slot of one target: by class, the
// most urgent first, and within a class by caller in turn.
type queue struct {
	classes [core.NumClasses]classQueue
	callers map[string]int
	length  int
	last    uint64
}

type queued struct {
	submit Submit
	number uint64
}

// classQueue gives each caller that has requests a place in turns.
type classQueue struct {
	turns   []*callerQueue
	callers map[string]*callerQueue
	length  int
}

type callerQueue struct {
	name     string
	requests []queued
}

func (q *queue) push(m Submit) {
	if q.callers == nil {
		q.callers = make(map[string]int)
	}
	c := &q.classes[m.Request.Class]
	if c.callers == nil {
		c.callers = make(map[string]*callerQueue)
	}
	caller := c.callers[m.Request.Caller]
	if caller == nil {
		caller = &callerQueue{name: m.Request.Caller}
		c.callers[caller.name] = caller
		c.turns = append(c.turns, caller)
	}
	q.last++
	caller.requests = append(caller.requests, queued{submit: m, number: q.last})
	c.length++
	q.length++
	q.callers[caller.name]++
}

// pop takes the next request: of the most urgent class, of the caller whose
// turn it is.
func (q *queue) pop() (Submit, bool) {
	for i := range q.classes {
		c := &q.classes[i]
		if c.length == 0 {
			continue
		}
		caller := c.turns[0]
		c.turns = c.turns[1:]
		next := caller.requests[0]
		caller.requests = caller.requests[1:]
		if len(caller.requests) > 0 {
			c.turns = append(c.turns, caller)
		} else {
			delete(c.callers, caller.name)
		}
		q.removed(c, caller.name)
		return next.submit, true
	}
	return Submit{}, false
}

func (q *queue) removed(c *classQueue, caller string) {
	c.length--
	q.length--
	if q.callers[caller]--; q.callers[caller] == 0 {
		delete(q.callers, caller)
	}
}

// ahead returns how many requests go before a new one of a class.
func (q *queue) ahead(class core.Class) int {
	n := 0
	for i := range q.classes[:class+1] {
		n += q.classes[i].length
	}
	return n
}

// evict takes the newest request of the least urgent class that is less urgent
// than the one given.
func (q *queue) evict(than core.Class) (Submit, bool) {
	for class := core.NumClasses - 1; class > than; class-- {
		c := &q.classes[class]
		if c.length == 0 {
			continue
		}
		var newest *callerQueue
		for _, caller := range c.turns {
			if newest == nil || caller.newest() > newest.newest() {
				newest = caller
			}
		}
		number := newest.newest()
		var out Submit
		q.removeWhere(class, func(r queued) bool {
			if r.number == number {
				out = r.submit
				return true
			}
			return false
		})
		return out, true
	}
	return Submit{}, false
}

func (c *callerQueue) newest() uint64 { return c.requests[len(c.requests)-1].number }

// removeWhere removes the requests of a class for which drop reports true.
func (q *queue) removeWhere(class core.Class, drop func(queued) bool) {
	c := &q.classes[class]
	turns := c.turns[:0]
	for _, caller := range c.turns {
		kept := caller.requests[:0]
		for _, r := range caller.requests {
			if drop(r) {
				q.removed(c, caller.name)
				continue
			}
			kept = append(kept, r)
		}
		clear(caller.requests[len(kept):])
		caller.requests = kept
		if len(kept) == 0 {
			delete(c.callers, caller.name)
			continue
		}
		turns = append(turns, caller)
	}
	clear(c.turns[len(turns):])
	c.turns = turns
}

// takeWhere removes and returns the requests for which take reports true.
func (q *queue) takeWhere(take func(Submit) bool) []Submit {
	if q.length == 0 {
		return nil
	}
	var out []Submit
	for class := range core.NumClasses {
		q.removeWhere(class, func(r queued) bool {
			if take(r.submit) {
				out = append(out, r.submit)
				return true
			}
			return false
		})
	}
	return out
}
