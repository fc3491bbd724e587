package front

import (
	"celeryhook.example/celeryhook/internal/core"
)

// queue holds the requests that wait for a slot of one target. It serves the
// most urgent class first, and the callers within a class in round-robin order.
type queue struct {
	classes        [core.NumClasses]classQueue
	lengthByCaller map[string]int
	length         int
	lastSequence   uint64
}

type queuedRequest struct {
	submit   Submit
	sequence uint64
}

// classQueue holds the requests of one class. Each caller with requests is in
// roundRobin once.
type classQueue struct {
	roundRobin []*callerQueue
	callers    map[string]*callerQueue
	length     int
}

type callerQueue struct {
	name     string
	requests []queuedRequest
}

func (q *queue) push(m Submit) {
	if q.lengthByCaller == nil {
		q.lengthByCaller = make(map[string]int)
	}
	c := &q.classes[m.Request.Class]
	if c.callers == nil {
		c.callers = make(map[string]*callerQueue)
	}
	caller := c.callers[m.Request.Caller]
	if caller == nil {
		caller = &callerQueue{name: m.Request.Caller}
		c.callers[caller.name] = caller
		c.roundRobin = append(c.roundRobin, caller)
	}
	q.lastSequence++
	caller.requests = append(caller.requests, queuedRequest{submit: m, sequence: q.lastSequence})
	c.length++
	q.length++
	q.lengthByCaller[caller.name]++
}

// pop removes the next request, which is that of the next caller in the most
// urgent class with requests.
func (q *queue) pop() (Submit, bool) {
	for i := range q.classes {
		c := &q.classes[i]
		if c.length == 0 {
			continue
		}
		caller := c.roundRobin[0]
		c.roundRobin = c.roundRobin[1:]
		next := caller.requests[0]
		caller.requests = caller.requests[1:]
		if len(caller.requests) > 0 {
			c.roundRobin = append(c.roundRobin, caller)
		} else {
			delete(c.callers, caller.name)
		}
		q.countRemoved(c, caller.name)
		return next.submit, true
	}
	return Submit{}, false
}

func (q *queue) countRemoved(c *classQueue, caller string) {
	c.length--
	q.length--
	if q.lengthByCaller[caller]--; q.lengthByCaller[caller] == 0 {
		delete(q.lengthByCaller, caller)
	}
}

// ahead returns how many requests would be served before a new one of a class.
func (q *queue) ahead(class core.Class) int {
	n := 0
	for i := range q.classes[:class+1] {
		n += q.classes[i].length
	}
	return n
}

// evict removes the newest request of the least urgent class that has requests,
// if that class is less urgent than the given one.
func (q *queue) evict(incoming core.Class) (Submit, bool) {
	for class := core.NumClasses - 1; class > incoming; class-- {
		c := &q.classes[class]
		if c.length == 0 {
			continue
		}
		var newest *callerQueue
		for _, caller := range c.roundRobin {
			if newest == nil || caller.newestSequence() > newest.newestSequence() {
				newest = caller
			}
		}
		number := newest.newestSequence()
		var out Submit
		q.removeWhere(class, func(r queuedRequest) bool {
			if r.sequence == number {
				out = r.submit
				return true
			}
			return false
		})
		return out, true
	}
	return Submit{}, false
}

func (c *callerQueue) newestSequence() uint64 { return c.requests[len(c.requests)-1].sequence }

// removeWhere removes the requests of a class for which drop reports true.
func (q *queue) removeWhere(class core.Class, drop func(queuedRequest) bool) {
	c := &q.classes[class]
	keptCallers := c.roundRobin[:0]
	for _, caller := range c.roundRobin {
		kept := caller.requests[:0]
		for _, r := range caller.requests {
			if drop(r) {
				q.countRemoved(c, caller.name)
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
		keptCallers = append(keptCallers, caller)
	}
	clear(c.roundRobin[len(keptCallers):])
	c.roundRobin = keptCallers
}

// extractWhere removes and returns the requests for which take reports true.
func (q *queue) extractWhere(take func(Submit) bool) []Submit {
	if q.length == 0 {
		return nil
	}
	var out []Submit
	for class := range core.NumClasses {
		q.removeWhere(class, func(r queuedRequest) bool {
			if take(r.submit) {
				out = append(out, r.submit)
				return true
			}
			return false
		})
	}
	return out
}
