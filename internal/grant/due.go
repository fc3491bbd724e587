package grant

import (
	"slices"

	"celeryhook.example/celeryhook/internal/core"
)

// due returns the next order for a target, if it is time for one.
func (k *Keeper) due(now core.Instant, id core.Target, h *held) (Output, bool) {
	if h.inFlight != 0 || h.want.Token.Less(h.superseded) || now.Before(h.nextAt) {
		return nil, false
	}
	kind, ok := k.next(now, h)
	if !ok {
		return nil, false
	}
	order := Order{Kind: kind, Token: h.confirmed, Front: k.vm}
	if kind == OrderTake {
		order.Token = h.want.Token
		order.Ranges = h.want.Ranges
	}
	h.before = h.mayHoldUntil
	if kind != OrderInspect {
		order.Incarnation = h.view.Incarnation
		end := now.Add(core.GrantLease)
		order.Deadline = h.view.Clock.NeverLater(now.Add(OrderTimeout))
		order.LeaseEnd = h.view.Clock.NeverLater(end)
		h.mayHoldUntil = max(h.mayHoldUntil, end)
	}
	k.orders++
	order.Number = k.orders
	h.inFlight = k.orders
	return SendOrder{Target: id, Address: h.want.Address, Order: order}, true
}

// next returns the kind of the order that comes next. An inspect has the
// confirmed token, so that it fences no grant.
func (k *Keeper) next(now core.Instant, h *held) (OrderKind, bool) {
	sameTarget := h.view.Incarnation == h.want.Incarnation
	switch {
	case h.lost, h.silent, h.view.Clock == ClockReading{}:
		return OrderInspect, true
	case h.confirmed != h.want.Token && sameTarget && now.Before(k.confirmedUntil) && h.readyToTake():
		return OrderTake, true
	case h.want.Yield && !now.Before(k.yieldConfirmedUntil):
		return "", false
	case !h.confirmed.IsZero():
		return OrderRenew, true
	case !sameTarget:
		// The target may restart again before the holder's next assignment.
		return OrderInspect, true
	}
	return "", false
}

// readyToTake reports whether all moving ranges that the target still holds
// are drained.
func (h *held) readyToTake() bool {
	for _, r := range h.want.Moving {
		if slices.Contains(h.view.Ranges, r) && !h.drained[r] {
			return false
		}
	}
	return true
}
