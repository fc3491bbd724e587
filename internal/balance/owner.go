package balance

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/routing"
)

const (
	// ownerLostRetryAfter is the retry delay when the owner of a key is lost. Its
	// keys get another owner in two to five seconds, so that callers best use the
	// time that they have.
	ownerLostRetryAfter = time.Second
	// minOwnerWait bounds from below how long a request may wait for the owner of
	// its key: about the time in which a move without running requests or a probe
	// ends. A move ends once the running requests for its keys have ended, so that
	// requests with a longer latency objective may wait a part of it.
	minOwnerWait         = 250 * time.Millisecond
	objectiveWaitDivisor = 2
)

// keyOwner returns the owner of the request's key. If the owner can't take the
// request, keyOwner returns the decision to wait or reject.
func (b *Balancer) keyOwner(now core.Instant, req SelectTarget, s routing.Service) (*target, Decision) {
	assignment, ok := b.owners.Assignment(req.Service, req.Key)
	if !ok {
		return nil, waitForMove(req, "", "no-owner")
	}
	if assignment.Moving() {
		return nil, waitForMove(req, assignment.Owner.Target, "moving")
	}
	t := b.targets[assignment.Owner.Target]
	switch {
	case t == nil || t.StartedAt != assignment.Owner.StartedAt:
		return nil, waitForLostOwner(assignment.Owner.Target, "owner-lost")
	case t.unreachable || t.replaced:
		return nil, waitForLostOwner(t.ID, "owner-unreachable")
	case !t.ServesOwnedKeys(now):
		return nil, waitForMove(req, t.ID, "owner-leaving")
	case now.Before(t.pausedUntil):
		return nil, b.rejectPaused(now, t)
	case b.full(now, t, req, s):
		return nil, b.rejectOverloaded(now, t, "full")
	case !b.withinRateLimit(now, t, req):
		return nil, b.rejectLimited(now, t, req)
	}
	return t, Decision{}
}

// waitForMove returns the decision to wait for the owner of a key that moves.
func waitForMove(req SelectTarget, owner core.Target, reason string) Decision {
	return Decision{
		Verdict: Wait, Target: Target{ID: owner}, Reason: reason, RetryAfter: unavailableRetryAfter,
		MaxWait: max(minOwnerWait, req.Objective/objectiveWaitDivisor),
	}
}

// waitForLostOwner returns the decision to wait whether a probe reaches the owner
// of a key.
func waitForLostOwner(owner core.Target, reason string) Decision {
	return Decision{Verdict: Wait, Target: Target{ID: owner}, Reason: reason, RetryAfter: ownerLostRetryAfter, MaxWait: minOwnerWait}
}
