package grant

import (
	"celeryhook.example/celeryhook/internal/core"
)

func (k *Keeper) stepDone(now core.Instant, m OrderDone) []Output {
	h := k.targets[m.Target]
	if h == nil {
		return nil
	}
	current := h.inFlight == m.Order.Number
	if current {
		h.inFlight = 0
	}
	if m.Err != nil {
		if m.NotSent && current {
			h.mayHoldUntil = h.before
		}
		return k.stepSilent(now, m, h)
	}
	h.silent = false
	h.view.Address = h.want.Address
	h.view.Clock = ClockReading{Clock: m.Reply.Clock, Sent: m.Sent, Received: m.Received}
	h.view.InFlight = m.Reply.InFlight
	h.view.Cold = m.Reply.Cold
	if h.view.Draining != m.Reply.Draining {
		h.view.Draining = m.Reply.Draining
		k.changed = true
	}
	if h.view.Incarnation != m.Reply.Incarnation {
		h.view.Incarnation = m.Reply.Incarnation
		h.forget()
		k.changed = true
	}
	if h.lost {
		k.changed = k.changed || !h.back
		h.back = true
		h.nextAt = now.Add(lostInterval)
		return nil
	}
	if !m.Reply.Accepted {
		return k.stepRejected(m, h)
	}
	if m.Order.Kind == OrderInspect {
		h.nextAt = m.Received
		if h.view.Incarnation != h.want.Incarnation {
			h.nextAt = m.Received.Add(probeInterval)
		}
		return nil
	}
	return k.stepConfirmed(now, m, h)
}

func (k *Keeper) stepConfirmed(now core.Instant, m OrderDone, h *held) []Output {
	h.nextAt = m.Sent.Add(core.RenewInterval)
	k.changed = k.changed || h.confirmed != m.Order.Token
	h.confirmed = m.Order.Token
	h.view.Token = m.Order.Token
	h.view.Ranges = m.Reply.Ranges
	h.view.HeldUntil = m.Sent.Add(core.MinusDrift(core.GrantLease))
	if h.confirmed != h.want.Token && h.readyToTake() {
		h.nextAt = now
	}
	return []Output{Changed{Target: m.Target, View: h.view}}
}

// forget drops what the target confirmed: it does not know of it any more.
func (h *held) forget() {
	h.confirmed = core.Token{}
	h.view.Ranges = nil
	h.view.HeldUntil = 0
}

func (k *Keeper) stepRejected(m OrderDone, h *held) []Output {
	h.nextAt = m.Received.Add(probeInterval)
	if h.want.Token.Less(m.Reply.Token) {
		k.changed = true
		h.superseded = m.Reply.Token
		if !m.Reply.Held || m.Reply.Front != k.vm {
			h.forget()
		}
		return []Output{
			Changed{Target: m.Target, View: h.view},
			Superseded{Target: m.Target, Token: m.Reply.Token},
		}
	}
	// The grant has ended, or a take was late: take it anew.
	if m.Order.Kind == OrderRenew {
		h.forget()
		h.nextAt = m.Received
	}
	return []Output{Changed{Target: m.Target, View: h.view}}
}

func (k *Keeper) stepSilent(now core.Instant, m OrderDone, h *held) []Output {
	if h.lost {
		h.back = false
		h.nextAt = now.Add(lostInterval)
		return nil
	}
	if !h.silent {
		h.silent = true
		h.silentSince = m.Sent
	}
	h.nextAt = now.Add(probeInterval)
	if now.Sub(h.silentSince) < lostAfter {
		return nil
	}
	h.lost = true
	h.forget()
	k.changed = true
	return []Output{Lost{Target: m.Target, Token: h.want.Token, Ends: h.mayHoldUntil}}
}
