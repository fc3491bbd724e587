package grant

import (
	"celeryhook.example/celeryhook/internal/core"
)

func (r *Renewer) stepDone(now core.Instant, m OrderDone) []Output {
	t := r.targets[m.Target]
	if t == nil {
		return nil
	}
	current := t.inFlight == m.Order.Number
	if current {
		t.inFlight = 0
	}
	if m.Err != nil {
		if m.NotSent && current {
			t.latestExpiry = t.priorLatestExpiry
		}
		return r.stepNoResponse(now, m, t)
	}
	t.unresponsive = false
	t.view.Address = t.assignment.Address
	t.view.Clock = ClockReading{Clock: m.Reply.Clock, Sent: m.Sent, Received: m.Received}
	t.view.InFlight = m.Reply.InFlight
	t.view.Cold = m.Reply.Cold
	if t.view.Draining != m.Reply.Draining {
		t.view.Draining = m.Reply.Draining
		r.changed = true
	}
	if t.view.Incarnation != m.Reply.Incarnation {
		t.view.Incarnation = m.Reply.Incarnation
		t.clearConfirmed()
		r.changed = true
	}
	if t.lost {
		r.changed = r.changed || !t.recovered
		t.recovered = true
		t.nextAt = now.Add(lostProbeInterval)
		return nil
	}
	if !m.Reply.Accepted {
		return r.stepRejected(m, t)
	}
	if m.Order.Kind == OrderInspect {
		t.nextAt = m.Received
		if t.view.Incarnation != t.assignment.Incarnation {
			t.nextAt = m.Received.Add(probeInterval)
		}
		return nil
	}
	return r.stepConfirmed(now, m, t)
}

func (r *Renewer) stepConfirmed(now core.Instant, m OrderDone, t *targetState) []Output {
	t.nextAt = m.Sent.Add(core.RenewInterval)
	r.changed = r.changed || t.confirmed != m.Order.Token
	t.confirmed = m.Order.Token
	t.view.Token = m.Order.Token
	t.view.Ranges = m.Reply.Ranges
	t.view.HeldUntil = m.Sent.Add(core.MinusDrift(core.GrantLease))
	if t.confirmed != t.assignment.Token && t.readyToTake() {
		t.nextAt = now
	}
	return []Output{Changed{Target: m.Target, View: t.view}}
}

// clearConfirmed discards the confirmed grant, which the target no longer has.
func (t *targetState) clearConfirmed() {
	t.confirmed = core.Token{}
	t.view.Ranges = nil
	t.view.HeldUntil = 0
}

func (r *Renewer) stepRejected(m OrderDone, t *targetState) []Output {
	t.nextAt = m.Received.Add(probeInterval)
	if t.assignment.Token.Less(m.Reply.Token) {
		r.changed = true
		t.superseded = m.Reply.Token
		if !m.Reply.Held || m.Reply.Front != r.vm {
			t.clearConfirmed()
		}
		return []Output{
			Changed{Target: m.Target, View: t.view},
			Superseded{Target: m.Target, Token: m.Reply.Token},
		}
	}
	// The grant has expired, or its take arrived after the deadline: take it again.
	if m.Order.Kind == OrderRenew {
		t.clearConfirmed()
		t.nextAt = m.Received
	}
	return []Output{Changed{Target: m.Target, View: t.view}}
}

func (r *Renewer) stepNoResponse(now core.Instant, m OrderDone, t *targetState) []Output {
	if t.lost {
		t.recovered = false
		t.nextAt = now.Add(lostProbeInterval)
		return nil
	}
	if !t.unresponsive {
		t.unresponsive = true
		t.unresponsiveSince = m.Sent
	}
	t.nextAt = now.Add(probeInterval)
	if now.Sub(t.unresponsiveSince) < lostTimeout {
		return nil
	}
	t.lost = true
	t.clearConfirmed()
	r.changed = true
	return []Output{TargetLost{Target: m.Target, Token: t.assignment.Token, GrantEnd: t.latestExpiry}}
}
