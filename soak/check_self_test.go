package soak

import (
	"net/http"
	"strconv"
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
func (tc *testChecker) sentRequest(id, method, uri string, ago time.Duration) *request {
	r := &request{id: id, method: method, uri: uri, idempotent: method == http.MethodGet, vm: tc.vm, process: 1}
	tc.requestSent(r)
	r.sent = time.Now().Add(-ago)
	return r
}

func run(r *request, s *wire.Server, key int) wire.Run {
	return wire.Run{Server: s.ID, ID: r.id, Method: r.method, URI: r.uri, Key: key, At: time.Now()}
}

// pass lets the VM pass on a response of a server to a request.
func (tc *testChecker) pass(s *wire.Server, id string) {
	r := tc.sentRequest(id, "GET", "/read/"+id, 0)
	tc.RunStarted(s, run(r, s, -1))
	tc.requestFinished(r, outcome{status: http.StatusOK, stamp: s.ID + "." + id, body: "answer of " + s.ID + " to " + id})
}

// toldAgo changes when VMs were told of an announcement.
func (tc *testChecker) toldAgo(told map[toldProcess]time.Time, ago time.Duration) {
	for p := range told {
		told[p] = time.Now().Add(-ago)
	}
}

func (tc *testChecker) grant(t *testing.T, s *wire.Server, token int64) {
	is.New(t).NoErr(wire.Grant(s.Address(), 0, 15, token, 5*time.Second))
	tc.Granted(s, 0, 15, token)
}

// Guards against a checker that misses violations: each case violates one
// invariant, and exactly that one must be reported.
func TestCheckerReports(t *testing.T) {
	for _, c := range []struct {
		invariant Invariant
		violate   func(t *testing.T, tc *testChecker)
	}{
		{AtMostOnce, func(_ *testing.T, tc *testChecker) {
			r := tc.sentRequest("1", "POST", "/book/1", 0)
			tc.RunStarted(tc.a, run(r, tc.a, -1))
			tc.RunStarted(tc.b, run(r, tc.b, -1))
		}},
		{RejectedNotRun, func(_ *testing.T, tc *testChecker) {
			r := tc.sentRequest("1", "POST", "/book/1", 0)
			tc.RunStarted(tc.a, run(r, tc.a, -1))
			tc.requestFinished(r, outcome{status: http.StatusServiceUnavailable})
		}},
		{RejectedNotRun, func(_ *testing.T, tc *testChecker) {
			r := tc.sentRequest("1", "POST", "/book/1", 0)
			tc.requestFinished(r, outcome{status: http.StatusTooManyRequests})
			tc.RunStarted(tc.a, run(r, tc.a, -1))
		}},
		{OnlySentRequests, func(_ *testing.T, tc *testChecker) {
			r := tc.sentRequest("1", "POST", "/book/1", 0)
			x := run(r, tc.a, -1)
			x.Body = "smuggled"
			tc.RunStarted(tc.a, x)
		}},
		{CompleteResponse, func(_ *testing.T, tc *testChecker) {
			r := tc.sentRequest("1", "GET", "/read/1", 0)
			tc.requestFinished(r, outcome{status: http.StatusOK, stamp: "a.2", body: "answer of a to 2"})
		}},
		{CompleteResponse, func(_ *testing.T, tc *testChecker) {
			r := tc.sentRequest("1", "GET", "/read/1", 0)
			tc.requestFinished(r, outcome{status: http.StatusOK, stamp: "a.1", body: "answer of a to 1", trailing: 4})
		}},
		{SingleOwner, func(t *testing.T, tc *testChecker) {
			tc.grant(t, tc.a, 1)
			tc.grant(t, tc.b, 2)
			tc.RunStarted(tc.a, run(tc.sentRequest("1", "GET", "/seat/1", 0), tc.a, 3))
			tc.RunStarted(tc.b, run(tc.sentRequest("2", "GET", "/seat/2", 0), tc.b, 3))
		}},
		{SingleOwner, func(t *testing.T, tc *testChecker) {
			tc.grant(t, tc.a, 1)
			tc.grant(t, tc.b, 2)
			tc.checkOwners(time.Now())
			tc.checkOwners(time.Now().Add(time.Second))
		}},
		{TokensIncrease, func(t *testing.T, tc *testChecker) {
			tc.grant(t, tc.a, 2)
			tc.grant(t, tc.b, 2)
		}},
		{Draining, func(_ *testing.T, tc *testChecker) {
			tc.setDraining("a")
			tc.draining["a"] = time.Now().Add(-drainBound - time.Second)
			tc.RunStarted(tc.a, run(tc.sentRequest("1", "GET", "/read/1", 0), tc.a, -1))
		}},
		{AnnouncedLeaving, func(_ *testing.T, tc *testChecker) {
			tc.beginAnnouncement(tc.announced.leaving, tc.a)
			tc.pass(tc.a, "1")
			tc.toldAgo(tc.announced.toldLeaving, leavingBound+time.Second)
			tc.history.instant(storeComponent) // excuses nothing
			tc.history.instant("vm0")
			tc.RunStarted(tc.a, run(tc.sentRequest("2", "GET", "/read/2", 0), tc.a, -1))
		}},
		{AnnouncedPause, func(_ *testing.T, tc *testChecker) {
			tc.TurnedAway(tc.a, tc.sentRequest("1", "GET", "/read/1", 0).id, announcedPause)
			for _, p := range tc.announced.pauses {
				p.from = p.from.Add(-time.Second)
			}
			for _, id := range []string{"2", "3", "4"} {
				tc.RunStarted(tc.a, run(tc.sentRequest(id, "GET", "/read/"+id, 0), tc.a, -1))
			}
		}},
		{AnnouncedLimit, func(_ *testing.T, tc *testChecker) {
			tc.beginAnnouncement(tc.announced.limited, tc.a)
			tc.pass(tc.a, "1")
			tc.toldAgo(tc.announced.toldLimit, contactBound+time.Second)
			tc.announced.limited[tc.a] = time.Now().Add(-contactBound - time.Second)
			most := int(limitFactor*limitWindow.Seconds()*announcedLimit + limitExtra)
			for range most + 1 {
				tc.RunStarted(tc.a, run(tc.sentRequest("2", "GET", "/read/2", 0), tc.a, -1))
			}
		}},
		{CrashRetries, func(_ *testing.T, tc *testChecker) {
			const uri = "/read/" + crashPrefix + "1"
			tc.expectCrashes(uri)
			for i := range crashesKnown + crashRetries + 1 {
				tc.RunStarted(tc.a, run(tc.sentRequest(strconv.Itoa(i), "GET", uri, 0), tc.a, -1))
				if x := tc.crashes[uri]; i == crashesKnown-1 {
					x.knownAt = x.knownAt.Add(-contactBound - time.Second)
				}
			}
		}},
		{Evacuated, func(_ *testing.T, tc *testChecker) {
			tc.setEvacuated("z0", true)
			tc.evacuated["z0"] = time.Now().Add(-evacuateBound - time.Second)
			tc.RunStarted(tc.a, run(tc.sentRequest("1", "GET", "/read/1", 0), tc.a, -1))
		}},
		{ColdLimit, func(t *testing.T, tc *testChecker) {
			s, err := wire.StartServer(wire.NewStore(), wire.ServerOptions{ID: "c", Service: "desk", Zone: "z1", Slots: 1, Cold: time.Minute})
			is.New(t).NoErr(err)
			defer s.Stop()
			for range 37 {
				tc.RunStarted(s, run(tc.sentRequest("1", "GET", "/read/1", 0), s, -1))
			}
		}},
		{ConfigInForce, func(_ *testing.T, tc *testChecker) {
			tc.configs.list[0].accepted = time.Now().Add(-time.Minute)
			tc.requestFinished(tc.sentRequest("1", "GET", "/v/1/x", 0), outcome{status: http.StatusNotFound})
		}},
		{ConfigInForce, func(_ *testing.T, tc *testChecker) {
			tc.configs.list[0].accepted = time.Now().Add(-time.Minute)
			tc.RunStarted(tc.a, run(tc.sentRequest("1", "GET", "/v/7/x", 0), tc.a, -1))
		}},
		{ConfigMonotonic, func(_ *testing.T, tc *testChecker) {
			tc.nextConfig(1)
			tc.RunStarted(tc.a, run(tc.sentRequest("1", "GET", "/v/2/x", 0), tc.a, -1))
			tc.configs.applied[vmProcess{vm: "vm0", start: 1}] = appliedConfig{index: 1, at: time.Now().Add(-time.Second)}
			tc.requestFinished(tc.sentRequest("2", "GET", "/v/2/y", 0), outcome{status: http.StatusNotFound})
		}},
		{GracefulStop, func(_ *testing.T, tc *testChecker) {
			end, at := tc.history.beginAt("vm0")
			r := tc.sentRequest("1", "POST", "/book/1", 0)
			tc.RunStarted(tc.a, run(r, tc.a, -1))
			tc.requestFinished(r, outcome{plannedStopAt: at})
			end()
		}},
	} {
		t.Run(string(c.invariant), func(t *testing.T) {
			is := is.New(t)
			tc := newTestChecker(t)
			c.violate(t, tc)
			_, violations := tc.summary()
			is.Equal(len(violations), 1)
			is.Equal(violations[0].Invariant, c.invariant)
		})
	}
}

// Guards against checks of announcements that bind a VM which was restarted or
// frozen since it learned of them, or has not learned of them.
func TestAnnouncementsBindWhoLearnedOfThem(t *testing.T) {
	for name, change := range map[string]func(*testChecker, *request){
		"restarted": func(_ *testChecker, r *request) { r.process++ },
		"frozen":    func(tc *testChecker, _ *request) { tc.history.instant(frozen("vm0")) },
		"untold":    func(tc *testChecker, _ *request) { clear(tc.announced.toldLeaving) },
		"told of no announcement": func(tc *testChecker, _ *request) {
			clear(tc.announced.toldLeaving)
			tc.endAnnouncement(tc.announced.leaving, tc.a)
			tc.pass(tc.a, "3")
			tc.toldAgo(tc.announced.toldLeaving, leavingBound+time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc := newTestChecker(t)
			tc.beginAnnouncement(tc.announced.leaving, tc.a)
			tc.pass(tc.a, "1")
			tc.toldAgo(tc.announced.toldLeaving, leavingBound+time.Second)
			r := tc.sentRequest("2", "GET", "/read/2", 0)
			change(tc, r)
			tc.RunStarted(tc.a, run(r, tc.a, -1))
			_, violations := tc.summary()
			is.Equal(len(violations), 0)
		})
	}
}

// Guards against time bounds that are checked where they do not apply: while the
// VM, the target, the store or the host is disturbed, and shortly after.
func TestTimeBoundsDuringDisturbances(t *testing.T) {
	is := is.New(t)
	for _, c := range []component{"vm0", "a", storeComponent, hostComponent} {
		tc := newTestChecker(t)
		tc.history.instant(c)
		tc.setDraining("a")
		tc.draining["a"] = time.Now().Add(-drainBound - time.Second)
		tc.RunStarted(tc.a, run(tc.sentRequest("1", "GET", "/read/1", 0), tc.a, -1))
		_, violations := tc.summary()
		is.Equal(len(violations), 0)
	}
	tc := newTestChecker(t)
	tc.history.instant("vm9")
	tc.setDraining("a")
	tc.draining["a"] = time.Now().Add(-drainBound - time.Second)
	tc.RunStarted(tc.a, run(tc.sentRequest("1", "GET", "/read/1", 0), tc.a, -1))
	_, violations := tc.summary()
	is.Equal(len(violations), 1)
}
