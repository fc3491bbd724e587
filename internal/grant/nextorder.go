package grant

import (
	"slices"

	"celeryhook.example/celeryhook/internal/core"
)

// dueOrder returns the next order for a target, if one is due.
func (r *Renewer) dueOrder(now core.Instant, id core.Target, t *targetState) (Output, bool) {
	if t.inFlight != 0 || t.assignment.Token.Less(t.superseded) || now.Before(t.nextAt) {
		return nil, false
	}
	kind, ok := r.nextKind(now, t)
	if !ok {
		return nil, false
	}
	order := Order{Kind: kind, Token: t.confirmed, Front: r.vm}
	if kind == OrderTake {
		order.Token = t.assignment.Token
		order.Ranges = t.assignment.Ranges
	}
	t.priorLatestExpiry = t.latestExpiry
	if kind != OrderInspect {
		order.Incarnation = t.view.Incarnation
		end := now.Add(core.GrantLease)
		order.Deadline = t.view.Clock.LowerBound(now.Add(OrderTimeout))
		order.LeaseEnd = t.view.Clock.LowerBound(end)
		t.latestExpiry = max(t.latestExpiry, end)
	}
	r.lastNumber++
	order.Number = r.lastNumber
	t.inFlight = r.lastNumber
	return SendOrder{Target: id, Address: t.assignment.Address, Order: order}, true
}

// nextKind returns the kind of the next order. An OrderInspect carries the
// confirmed token, so that it does not fence off the current grant.
func (r *Renewer) nextKind(now core.Instant, t *targetState) (OrderKind, bool) {
	sameTarget := t.view.Incarnation == t.assignment.Incarnation
	switch {
	case t.lost, t.unresponsive, t.view.Clock == ClockReading{}:
		return OrderInspect, true
	case t.confirmed != t.assignment.Token && sameTarget && now.Before(r.confirmedUntil) && t.readyToTake():
		return OrderTake, true
	case t.assignment.Yield && !now.Before(r.yieldConfirmedUntil):
		return "", false
	case !t.confirmed.IsZero():
		return OrderRenew, true
	case !sameTarget:
		// Keeps the incarnation up to date: the target may restart again before
		// the holder's next assignment.
		return OrderInspect, true
	}
	return "", false
}

// readyToTake reports whether all moving ranges that the target still holds
// have been drained.
func (t *targetState) readyToTake() bool {
	for _, id := range t.assignment.Moving {
		if slices.Contains(t.view.Ranges, id) && !t.drained[id] {
			return false
		}
	}
	return true
}
