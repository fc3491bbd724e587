package ingress

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/balance"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/team"
	"celeryhook.example/celeryhook/internal/upstream"
)

// quota replies with verdicts in turn, the last one repeatedly, and records what it is
// told.
type quota struct {
	mu       sync.Mutex
	verdicts []team.Verdict
	taken    int
	returned int
	counted  []team.Outcome
}

func (q *quota) Take(context.Context, *team.Team, int64, core.Instant) (team.Verdict, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	v := q.verdicts[min(q.taken, len(q.verdicts)-1)]
	q.taken++
	return v, nil
}

func (q *quota) GiveBack(team.Permit) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.returned++
}

func (q *quota) Count(_ *team.Team, o team.Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.counted = append(q.counted, o)
}

var (
	admitted = team.Verdict{}
	exceeded = team.Verdict{Outcome: team.Exceeded, RetryAfter: 70 * time.Millisecond}
	unknown  = team.Verdict{Outcome: team.Unavailable, RetryAfter: 500 * time.Millisecond}
)

// quotaFixture returns a server whose team has a quota that replies with the verdicts.
func quotaFixture(t *testing.T, do func(context.Context, int, *upstream.Request) (*upstream.Response, error), verdicts ...team.Verdict) (*fixture, *quota) {
	f := newFixture(t, do)
	limited := red
	limited.Rate = 1
	c := teamConfig(2, limited, blue)
	unsafe := c.Routes[0]
	unsafe.Name, unsafe.Prefix, unsafe.Idempotent = "unsafe", "/unsafe/", false
	c.Routes = append(c.Routes, unsafe)
	is.New(t).True(f.Routes.Apply(c))
	q := &quota{verdicts: verdicts}
	f.Quota = q
	return f, q
}

const redKey = "Authorization: Token red-1\r\n"

// Guards against a request beyond the quota that is sent, or rejected with another
// status.
func TestRequestsWithoutAPermitAreNotSent(t *testing.T) {
	is := is.New(t)
	f, q := quotaFixture(t, nil, exceeded, unknown, admitted)
	is.Equal(f.sendHeaders(t, "/safe/1", redKey), http.StatusTooManyRequests)
	is.Equal(f.sendHeaders(t, "/safe/1", redKey), http.StatusServiceUnavailable)
	is.Equal(f.exchanger.count(), 0)
	is.Equal(f.sendHeaders(t, "/safe/1", redKey), http.StatusOK)
	is.Equal(q.taken, 3)
	is.Equal(q.returned, 0)
	is.Equal(q.counted, []team.Outcome{team.Exceeded, team.Unavailable, team.Admitted})
}

// Guards against teams without a quota, and anonymous requests, that need permits.
func TestOnlyLimitedTeamsNeedPermits(t *testing.T) {
	is := is.New(t)
	f, q := quotaFixture(t, nil, exceeded)
	is.Equal(f.sendHeaders(t, "/safe/1", "Authorization: Token blue-1\r\n"), http.StatusOK)
	is.Equal(f.sendHeaders(t, "/open/1", redKey), http.StatusOK)
	is.Equal(q.taken, 0)
	is.Equal(q.counted, []team.Outcome{team.Admitted})
}

// Guards against a permit that is lost when its request is rejected, and against one
// that is returned although the request may have run.
func TestPermitsOfRequestsThatDidNotRunAreReturned(t *testing.T) {
	for name, c := range map[string]struct {
		path            string
		err             error
		reply           func(int) balance.Decision
		status          int
		taken, returned int
	}{
		"rejected":            {path: "/safe/1", reply: func(int) balance.Decision { return balance.Decision{Verdict: balance.Reject} }, status: 503, taken: 1, returned: 1},
		"not sent":            {path: "/safe/1", err: upstream.ErrNotSent, status: 503, taken: 1, returned: 1},
		"may have run":        {path: "/unsafe/1", err: upstream.ErrConnectionLost, status: 502, taken: 1},
		"may have run, twice": {path: "/safe/1", err: upstream.ErrConnectionLost, status: 502, taken: 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, q := quotaFixture(t, func(_ context.Context, _ int, r *upstream.Request) (*upstream.Response, error) {
				return nil, c.err
			}, admitted)
			f.balancer.reply = c.reply
			is.Equal(f.sendHeaders(t, c.path, redKey), c.status)
			is.Equal(q.taken, c.taken)
			is.Equal(q.returned, c.returned)
		})
	}
}

// Guards against a second run of a request beyond the quota, and against a response
// that says that the request did not run.
func TestRetryNeedsAPermit(t *testing.T) {
	is := is.New(t)
	f, q := quotaFixture(t, func(context.Context, int, *upstream.Request) (*upstream.Response, error) {
		return nil, upstream.ErrConnectionLost
	}, admitted, exceeded)
	is.Equal(f.sendHeaders(t, "/safe/1", redKey), http.StatusBadGateway)
	is.Equal(f.exchanger.count(), 1)
	is.Equal(q.taken, 2)
}

// Guards against a permit that has expired while the request waited for a target, and
// against a target's slot that stays occupied.
func TestExpiredPermitIsReplaced(t *testing.T) {
	for _, second := range []team.Verdict{admitted, exceeded} {
		is := is.New(t)
		f, q := quotaFixture(t, nil, team.Verdict{Permit: team.Permit{Expires: 1}}, second)
		now := core.Instant(0) // until the target is selected
		clock := f.Clock
		base := clock()
		f.balancer.reply = func(int) balance.Decision {
			now = 1
			return balance.Decision{Target: balance.Target{ID: "t1"}}
		}
		f.Clock = func() core.Instant {
			if now == 0 {
				return 0
			}
			return clock() - base + 1
		}
		status := f.sendHeaders(t, "/safe/1", redKey)
		is.Equal(q.taken, 2)
		is.Equal(q.returned, 1)
		if second.Outcome == team.Admitted {
			is.Equal(status, http.StatusOK)
			continue
		}
		is.Equal(status, http.StatusTooManyRequests)
		is.Equal(f.exchanger.count(), 0)
		is.Equal(len(f.balancer.dones), 1)
		is.Equal(f.balancer.dones[0].Result, balance.Cancelled)
	}
}

// Guards against quotas that change anything while the configuration has no teams.
func TestWithoutTeamsNoPermitIsNeeded(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	q := &quota{verdicts: []team.Verdict{exceeded}}
	f.Quota = q
	f.ConfigAge = func() time.Duration { return time.Hour }
	f.Identity = IdentityLimits{Apply: time.Second, Revoke: time.Second, Strict: true}
	is.Equal(f.sendHeaders(t, "/safe/1", redKey), http.StatusOK)
	is.Equal(q.taken+len(q.counted), 0)
}
