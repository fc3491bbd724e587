package ingress

import (
	"net/http"
	"time"

	"celeryhook.example/celeryhook/internal/balance"
	"celeryhook.example/celeryhook/internal/team"
)

const (
	// A request waits for a permit for at most maxPermitWait, and at most for
	// 1/permitWaitDivisor of its remaining time: the account answers in a few
	// milliseconds, or it has failed.
	maxPermitWait     = 400 * time.Millisecond
	permitWaitDivisor = 4
)

// noPermitWait is the wait for a permit that is wanted only if it is at hand.
const noPermitWait = 0

// takePermit sees to it that the request of a team has a permit for the next attempt.
// It returns a rejection if there is none.
func (r *request) takePermit(wait time.Duration) *rejection {
	if r.team == nil || r.Quota == nil || r.hasPermit() {
		return nil
	}
	r.returnPermit()
	v, err := team.Verdict{}, error(nil)
	if r.team.Rate > 0 {
		now := r.Clock()
		v, err = r.Quota.Take(r.ctx, r.team, r.teamVersion, now.Add(min(wait, r.deadline.Sub(now)/permitWaitDivisor)))
	}
	if !r.quotaCounted {
		r.quotaCounted = true
		r.Quota.Count(r.team, v.Outcome)
	}
	switch {
	case err != nil:
		return &rejection{status: http.StatusServiceUnavailable, reason: r.undecidedReason("quota-busy"), retryAfter: overloadRetryAfter}
	case v.Outcome == team.Exceeded:
		return &rejection{status: http.StatusTooManyRequests, reason: "quota", retryAfter: v.RetryAfter}
	case v.Outcome != team.Admitted:
		return &rejection{status: http.StatusServiceUnavailable, reason: "quota-unknown", retryAfter: v.RetryAfter}
	}
	r.permit = &v.Permit
	return nil
}

// hasPermit reports whether the request has a permit that is still valid.
func (r *request) hasPermit() bool {
	return r.permit != nil && (r.permit.Expires == 0 || r.Clock().Before(r.permit.Expires))
}

// keepPermit keeps the permit of an attempt that can't have run for the next one.
func (r *request) keepPermit(p *team.Permit) {
	if p != nil {
		r.returnPermit()
		r.permit = p
	}
}

// returnPermit returns a permit under which nothing can have run.
func (r *request) returnPermit() {
	if r.permit != nil {
		r.Quota.GiveBack(*r.permit)
		r.permit = nil
	}
}

// usePermit returns the permit for an attempt that is about to be sent, nil if none is
// needed. The decision may have taken so long that another one is needed; if there is
// none, the target's slot is freed.
func (r *request) usePermit(d balance.Decision, wait time.Duration) (*team.Permit, *rejection) {
	if rejection := r.takePermit(wait); rejection != nil {
		r.Balancer.Done(balance.AttemptDone{Service: r.service, Route: r.rule.Name, Target: d.Target.ID, Result: balance.Cancelled})
		return nil, rejection
	}
	p := r.permit
	r.permit = nil
	return p, nil
}

// finishWithoutPermit responds to a request that may not be sent (again).
func (r *request) finishWithoutPermit(last *attempt, rejection *rejection) {
	if last != nil {
		r.writeFailure(last, rejection.retryAfter)
		return
	}
	r.reject(rejection)
}
