package route_test

import (
	"slices"

	"celeryhook.example/celeryhook/internal/core"
)

// baseline is a conventional load balancer: each entry VM sends requests directly
// to a target in its failure domain. It shards keys by hash modulo the number of
// targets. It ignores stragglers and cold starts, and requests queue at the
// targets.
type baseline struct {
	m       *model
	pending [][]int // by entry VM and target
	next    []int
	least   bool
	local   [][]int
}

func newBaseline(m *model, least bool) *baseline {
	b := &baseline{m: m, least: least, next: make([]int, m.deployment.vms)}
	for entry := range m.deployment.vms {
		var local []int
		for i, s := range m.servers {
			if s.domain == m.domainOf(entry) {
				local = append(local, i)
			}
		}
		b.local = append(b.local, local)
		b.pending = append(b.pending, make([]int, len(m.servers)))
	}
	return b
}

func roundRobin(m *model) system       { return newBaseline(m, false) }
func leastConnections(m *model) system { return newBaseline(m, true) }

func (b *baseline) start() {}

func (b *baseline) pick(a *arrival) int {
	if b.m.deployment.sharded {
		return int(a.request.KeyHash % uint64(len(b.m.servers)))
	}
	local := b.local[a.entry]
	b.next[a.entry]++
	start := b.next[a.entry] % len(local)
	if !b.least {
		return local[start]
	}
	rotated := slices.Concat(local[start:], local[:start])
	return slices.MinFunc(rotated, func(x, y int) int { return b.pending[a.entry][x] - b.pending[a.entry][y] })
}

func (b *baseline) arrive(a *arrival) {
	i := b.pick(a)
	s := b.m.servers[i]
	b.pending[a.entry][i]++
	hop := b.m.hopTime(a.entry, s.domain)
	finish := func(o core.Outcome) {
		b.m.after(hop, func() {
			b.pending[a.entry][i]--
			b.m.finish(a, o)
		})
	}
	run := func() {
		if b.m.now >= a.request.Deadline {
			finish(core.OutcomeOverloaded)
			return
		}
		b.m.serve(s, func() {
			if b.m.now > a.request.Deadline {
				finish(core.OutcomeUnknown)
			} else {
				finish(core.OutcomeAnswered)
			}
		})
	}
	b.m.after(hop, func() {
		switch {
		case s.running < b.m.deployment.slots:
			run()
		case s.running+len(s.waiting) < b.m.deployment.connections:
			s.waiting = append(s.waiting, b.startQueued(s, run))
		default:
			finish(core.OutcomeOverloaded)
		}
	})
}

// startQueued returns a function that runs a queued request. If the request is
// rejected because its deadline has passed, the next one gets the slot.
func (b *baseline) startQueued(s *server, run func()) func() {
	return func() {
		run()
		if len(s.waiting) > 0 && s.running < b.m.deployment.slots {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			next()
		}
	}
}
