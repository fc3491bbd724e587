package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/standin/wire"
)

// testChecker is a checker with a VM and two sharded targets.
type testChecker struct {
	*checker
	vm   *gateway
	a, b *wire.Server
}

func newTestChecker(t *testing.T) *testChecker {
	c := newChecker(&history{}, 1)
	store := wire.NewStore()
	out := &testChecker{checker: c, vm: &gateway{name: "vm0"}}
	for _, s := range []**wire.Server{&out.a, &out.b} {
		o := wire.ServerOptions{ID: "a", Service: "seats", Zone: "z0", Slots: 1, Sharded: true}
		if s == &out.b {
			o.ID = "b"
		}
		var err error
		*s, err = wire.StartServer(store, o)
		is.New(t).NoErr(err)
		t.Cleanup((*s).Stop)
	}
	c.nextConfig(1)
	c.acceptedConfig()
	return out
}

// sentRequest records a request that was sent the given time ago.
func (b *testChecker) sentRequest(id, method, uri string, ago time.Duration) *request {
	r := &request{id: id, method: method, uri: uri, idempotent: method == http.MethodGet, vm: b.vm, process: 1}
	b.requestSent(r)
	r.sent = time.Now().Add(-ago)
	return r
}

func run(r *request, s *wire.Server, key int) wire.Run {
	return wire.Run{Server: s.ID, ID: r.id, Method: r.method, URI: r.uri, Key: key, At: time.Now()}
}

func (b *testChecker) grant(t *testing.T, s *wire.Server, token int64) {
	is.New(t).NoErr(wire.Grant(s.Address(), 0, 15, token, 5*time.Second))
	b.Granted(s, 0, 15, token)
}

// Guards against a checker that misses violations: each case violates one
// invariant, and exactly that one must be reported.
func TestCheckerReports(t *testing.T) {
	for _, c := range []struct {
		invariant Invariant
		violate   func(t *testing.T, b *testChecker)
	}{
		{AtMostOnce, func(_ *testing.T, b *testChecker) {
			r := b.sentRequest("1", "POST", "/book/1", 0)
			b.RunStarted(b.a, run(r, b.a, -1))
			b.RunStarted(b.b, run(r, b.b, -1))
		}},
		{RejectedNotRun, func(_ *testing.T, b *testChecker) {
			r := b.sentRequest("1", "POST", "/book/1", 0)
			b.RunStarted(b.a, run(r, b.a, -1))
			b.requestFinished(r, outcome{status: http.StatusServiceUnavailable})
		}},
		{RejectedNotRun, func(_ *testing.T, b *testChecker) {
			r := b.sentRequest("1", "POST", "/book/1", 0)
			b.requestFinished(r, outcome{status: http.StatusTooManyRequests})
			b.RunStarted(b.a, run(r, b.a, -1))
		}},
		{OnlySentRequests, func(_ *testing.T, b *testChecker) {
			r := b.sentRequest("1", "POST", "/book/1", 0)
			x := run(r, b.a, -1)
			x.Body = "smuggled"
			b.RunStarted(b.a, x)
		}},
		{CompleteResponse, func(_ *testing.T, b *testChecker) {
			r := b.sentRequest("1", "GET", "/read/1", 0)
			b.requestFinished(r, outcome{status: http.StatusOK, stamp: "a.2", body: "answer of a to 2"})
		}},
		{CompleteResponse, func(_ *testing.T, b *testChecker) {
			r := b.sentRequest("1", "GET", "/read/1", 0)
			b.requestFinished(r, outcome{status: http.StatusOK, stamp: "a.1", body: "answer of a to 1", trailing: 4})
		}},
		{SingleOwner, func(t *testing.T, b *testChecker) {
			b.grant(t, b.a, 1)
			b.grant(t, b.b, 2)
			b.RunStarted(b.a, run(b.sentRequest("1", "GET", "/seat/1", 0), b.a, 3))
			b.RunStarted(b.b, run(b.sentRequest("2", "GET", "/seat/2", 0), b.b, 3))
		}},
		{SingleOwner, func(t *testing.T, b *testChecker) {
			b.grant(t, b.a, 1)
			b.grant(t, b.b, 2)
			b.checkOwners(time.Now())
			b.checkOwners(time.Now().Add(time.Second))
		}},
		{TokensIncrease, func(t *testing.T, b *testChecker) {
			b.grant(t, b.a, 2)
			b.grant(t, b.b, 2)
		}},
		{Draining, func(_ *testing.T, b *testChecker) {
			b.setLeaving("a")
			b.leaving["a"] = time.Now().Add(-drainBound - time.Second)
			b.RunStarted(b.a, run(b.sentRequest("1", "GET", "/read/1", 0), b.a, -1))
		}},
		{Evacuated, func(_ *testing.T, b *testChecker) {
			b.setEvacuated("z0", true)
			b.evacuated["z0"] = time.Now().Add(-evacuateBound - time.Second)
			b.RunStarted(b.a, run(b.sentRequest("1", "GET", "/read/1", 0), b.a, -1))
		}},
		{ColdLimit, func(t *testing.T, b *testChecker) {
			s, err := wire.StartServer(wire.NewStore(), wire.ServerOptions{ID: "c", Service: "desk", Zone: "z1", Slots: 1, Cold: time.Minute})
			is.New(t).NoErr(err)
			defer s.Stop()
			for range 37 {
				b.RunStarted(s, run(b.sentRequest("1", "GET", "/read/1", 0), s, -1))
			}
		}},
		{ConfigInForce, func(_ *testing.T, b *testChecker) {
			b.configs.list[0].accepted = time.Now().Add(-time.Minute)
			b.requestFinished(b.sentRequest("1", "GET", "/v/1/x", 0), outcome{status: http.StatusNotFound})
		}},
		{ConfigInForce, func(_ *testing.T, b *testChecker) {
			b.configs.list[0].accepted = time.Now().Add(-time.Minute)
			b.RunStarted(b.a, run(b.sentRequest("1", "GET", "/v/7/x", 0), b.a, -1))
		}},
		{ConfigMonotonic, func(_ *testing.T, b *testChecker) {
			b.nextConfig(1)
			b.RunStarted(b.a, run(b.sentRequest("1", "GET", "/v/2/x", 0), b.a, -1))
			b.configs.applied[vmProcess{vm: "vm0", start: 1}] = appliedConfig{index: 1, at: time.Now().Add(-time.Second)}
			b.requestFinished(b.sentRequest("2", "GET", "/v/2/y", 0), outcome{status: http.StatusNotFound})
		}},
		{GracefulStop, func(_ *testing.T, b *testChecker) {
			end, at := b.history.beginAt("vm0")
			r := b.sentRequest("1", "POST", "/book/1", 0)
			b.RunStarted(b.a, run(r, b.a, -1))
			b.requestFinished(r, outcome{stoppedByPlan: at})
			end()
		}},
	} {
		t.Run(string(c.invariant), func(t *testing.T) {
			is := is.New(t)
			b := newTestChecker(t)
			c.violate(t, b)
			_, violations := b.summary()
			is.Equal(len(violations), 1)
			is.Equal(violations[0].Invariant, c.invariant)
		})
	}
}

// Guards against time bounds that are checked where they do not apply: while the
// VM, the target, the store or the host is disturbed, and shortly after.
func TestTimeBoundsDuringDisturbances(t *testing.T) {
	is := is.New(t)
	for _, c := range []component{"vm0", "a", storeComponent, hostComponent} {
		b := newTestChecker(t)
		b.history.instant(c)
		b.setLeaving("a")
		b.leaving["a"] = time.Now().Add(-drainBound - time.Second)
		b.RunStarted(b.a, run(b.sentRequest("1", "GET", "/read/1", 0), b.a, -1))
		_, violations := b.summary()
		is.Equal(len(violations), 0)
	}
	b := newTestChecker(t)
	b.history.instant("vm9")
	b.setLeaving("a")
	b.leaving["a"] = time.Now().Add(-drainBound - time.Second)
	b.RunStarted(b.a, run(b.sentRequest("1", "GET", "/read/1", 0), b.a, -1))
	_, violations := b.summary()
	is.Equal(len(violations), 1)
}
