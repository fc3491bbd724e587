package route_test

import (
	"slices"

	"celeryhook.example/celeryhook/internal/core"
)

// baseline is a usual balancer: each entry VM sends straight to a target of
// its failure domain. It divides keys by hash modulo the number of targets. It
// knows nothing of stragglers or cold starts, and queues are at the targets.
type baseline struct {
	m       *model
	pending [][]int // by entry VM and target
	turn    []int
	least   bool
	near    [][]int
}

func newBaseline(m *model, least bool) *baseline {
	b := &baseline{m: m, least: least, turn: make([]int, m.d.vms)}
	for entry := range m.d.vms {
		var near []int
		for i, s := range m.servers {
			if s.domain == m.domainOf(entry) {
				near = append(near, i)
			}
		}
		b.near = append(b.near, near)
		b.pending = append(b.pending, make([]int, len(m.servers)))
	}
	return b
}

func roundRobin(m *model) system       { return newBaseline(m, false) }
func leastConnections(m *model) system { return newBaseline(m, true) }

func (b *baseline) start() {}

func (b *baseline) pick(a *arrival) int {
	if b.m.d.divided {
		return int(a.request.KeyHash % uint64(len(b.m.servers)))
	}
	near := b.near[a.entry]
	b.turn[a.entry]++
	start := b.turn[a.entry] % len(near)
	if !b.least {
		return near[start]
	}
	turned := slices.Concat(near[start:], near[:start])
	return slices.MinFunc(turned, func(x, y int) int { return b.pending[a.entry][x] - b.pending[a.entry][y] })
}

func (b *baseline) arrive(a *arrival) {
	i := b.pick(a)
	s := b.m.servers[i]
	b.pending[a.entry][i]++
	hop := b.m.hopTo(a.entry, s.domain)
	end := func(o core.Outcome) {
		b.m.after(hop, func() {
			b.pending[a.entry][i]--
			b.m.finish(a, o)
		})
	}
	begin := func() {
		if b.m.now >= a.request.Deadline {
			end(core.OutcomeOverloaded)
			return
		}
		b.m.serve(s, func() {
			if b.m.now > a.request.Deadline {
				end(core.OutcomeUnknown)
			} else {
				end(core.OutcomeAnswered)
			}
		})
	}
	b.m.after(hop, func() {
		switch {
		case s.running < b.m.d.slots:
			begin()
		case s.running+len(s.waiting) < b.m.d.connections:
			s.waiting = append(s.waiting, b.queued(s, begin))
		default:
			end(core.OutcomeOverloaded)
		}
	})
}

// queued begins a waiting request; if it is refused for its deadline, the next
// one gets the slot.
func (b *baseline) queued(s *server, begin func()) func() {
	return func() {
		begin()
		if len(s.waiting) > 0 && s.running < b.m.d.slots {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			next()
		}
	}
}
