package target

import (
	"slices"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
)

func (m *StateMachine) holdsGrant(clock grant.TargetClock) bool {
	return m.front != "" && clock < m.leaseEnd
}

func (m *StateMachine) order(clock grant.TargetClock, o grant.Order) grant.OrderReply {
	reason := m.apply(clock, o)
	reply := grant.OrderReply{
		Accepted:    reason == "",
		Reason:      reason,
		Token:       m.token,
		Held:        m.holdsGrant(clock),
		LeaseEnd:    m.leaseEnd,
		Granted:     m.granted,
		Clock:       clock,
		Incarnation: m.options.Incarnation,
		InFlight:    m.inFlight,
		Cold:        m.cold.on && !m.faults.Mislead,
		Draining:    m.drain.reported && !m.faults.Mislead,
	}
	if reply.Held {
		reply.Front, reply.Ranges = m.front, slices.Clone(m.ranges)
	}
	return reply
}

// apply executes an order. It returns the reason if it rejects the order.
func (m *StateMachine) apply(clock grant.TargetClock, o grant.Order) string {
	if !m.options.Checks {
		m.accept(o)
		return ""
	}
	if o.Kind != grant.OrderInspect && clock > o.Deadline {
		return "deadline passed"
	}
	// The clock restarts at 0 with each incarnation, so a lease end that was
	// meant for an earlier incarnation would lie far in the future.
	if o.Incarnation != 0 && o.Incarnation != m.options.Incarnation {
		return "order is for another incarnation"
	}
	order := o.Token.Compare(m.token)
	switch o.Kind {
	case grant.OrderInspect:
		if order > 0 {
			m.token = o.Token
		}
	case grant.OrderTake:
		if order < 0 || order == 0 && m.front != "" && m.front != o.Front {
			return "token is older than the grant's"
		}
		m.accept(o)
	case grant.OrderRenew:
		if order != 0 || !m.holdsGrant(clock) || m.front != o.Front {
			return "no such grant"
		}
		m.leaseEnd = max(m.leaseEnd, o.LeaseEnd)
	case grant.OrderRelease:
		if order < 0 {
			return "token is older than the grant's"
		}
		m.token, m.front, m.ranges, m.leaseEnd = o.Token, "", nil, 0
	case grant.OrderDrain:
		if order < 0 {
			return "token is older than the grant's"
		}
		m.faults.Drain = true
	default:
		return "unknown order " + string(o.Kind)
	}
	return ""
}

func (m *StateMachine) accept(o grant.Order) {
	if o.Kind != grant.OrderTake && o.Kind != grant.OrderRenew {
		return
	}
	m.token, m.front, m.leaseEnd = o.Token, o.Front, o.LeaseEnd
	if o.Kind == grant.OrderTake {
		m.granted = o.Token
		m.ranges = slices.Clone(o.Ranges)
	}
}

// HTTP statuses of requests that were rejected without a run.
const (
	statusStaleGrant     = 409
	statusDeadlinePassed = 425
	statusOverloaded     = 503
)

func (m *StateMachine) rejection(clock grant.TargetClock, b Begin) (int, string) {
	if m.options.Checks {
		r := b.Run
		switch {
		case clock >= b.Deadline:
			return statusDeadlinePassed, "deadline passed"
		case !m.holdsGrant(clock) || r.Front != m.front || m.token.Less(r.Token):
			return statusStaleGrant, "the front holds no grant"
		case r.Range != (core.RangeID{}) && !slices.Contains(m.ranges, r.Range):
			return statusStaleGrant, "the grant doesn't hold the range"
		}
	}
	if m.inFlight >= m.options.Slots {
		return statusOverloaded, "all slots are in use"
	}
	return 0, ""
}
