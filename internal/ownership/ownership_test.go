package ownership

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/roster"
)

// numSeeds returns how many random schedules to run. OWNERSHIP_SEEDS overrides
// it.
func numSeeds(t *testing.T) uint64 {
	if s := os.Getenv("OWNERSHIP_SEEDS"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		is.New(t).NoErr(err)
		return n
	}
	return 8
}

// TestRandomSchedules guards against two targets holding a key at the same time,
// decreasing tokens, and keys that stay without a holder, under random crashes,
// partitions and outages.
func TestRandomSchedules(t *testing.T) {
	for seed := range numSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(seed, 5, 4)
			for i, v := range c.vms {
				// The VMs disagree on how long grants should last.
				v.longestRequest = time.Duration(seed%2) * time.Duration(i) * 900 * time.Millisecond
				v.step(v.services())
			}
			c.run(8 * time.Second)
			is.Equal(c.unitsHeld(), Units) // assigned at the start
			for range 12 {
				c.injectFault()
				c.run(time.Duration(500+c.rng.IntN(3000)) * time.Millisecond)
			}
			c.run(30 * time.Second) // every fault has ended by then
			if len(c.violations) > 0 {
				t.Fatalf("seed %d: %v\n%s", seed, c.violations[0], strings.Join(c.traceTail(), "\n"))
			}
			if held := c.unitsHeld(); held != Units {
				t.Fatalf("seed %d: %d of %d units are held at the end\n%s", seed, held, Units, strings.Join(c.traceTail(), "\n"))
			}
		})
	}
}

// TestRandomSchedulesWithLosses guards against two targets that hold a key or accept
// the same token, and against keys without a holder, when the store comes back from
// an older copy of itself, also during other faults and several times.
func TestRandomSchedulesWithLosses(t *testing.T) {
	for seed := range numSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			c := newCluster(seed, 5, 4)
			c.runWithLosses(t)
			if len(c.violations) > 0 {
				t.Fatalf("seed %d: %v\n%s", seed, c.violations[0], strings.Join(c.traceTail(), "\n"))
			}
			if held := c.unitsHeld(); held != Units {
				t.Fatalf("seed %d: %d of %d units are held at the end\n%s", seed, held, Units, strings.Join(c.traceTail(), "\n"))
			}
		})
	}
}

// runWithLosses runs faults among which are losses of the store's newest records,
// and lets them end.
func (c *cluster) runWithLosses(t *testing.T) {
	c.losses = true
	c.run(8 * time.Second)
	is.New(t).Equal(c.unitsHeld(), Units) // assigned at the start
	for i := range 16 {
		if i%4 == 1 {
			c.loseRecords(time.Duration(c.rng.IntN(9000)) * time.Millisecond)
		}
		c.injectFault()
		c.run(time.Duration(100+c.rng.IntN(3000)) * time.Millisecond)
	}
	c.run(30 * time.Second)
}

// TestRestartedTargetGetsHigherTokens guards against a process that is granted the
// keys of its predecessor under the same id with the predecessor's token.
func TestRestartedTargetGetsHigherTokens(t *testing.T) {
	for seed := range numSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			c := newCluster(seed, 5, 4)
			c.distinguishProcesses = true
			c.runWithLosses(t)
			if len(c.violations) > 0 {
				t.Fatalf("seed %d: %v\n%s", seed, c.violations[0], strings.Join(c.traceTail(), "\n"))
			}
		})
	}
}

// injectFault starts one fault that ends by itself.
func (c *cluster) injectFault() {
	v, t := c.vms[c.rng.IntN(len(c.vms))], c.targets[c.rng.IntN(len(c.targets))]
	d := time.Duration(500+c.rng.IntN(6000)) * time.Millisecond
	faults := 9
	if c.losses {
		faults++
	}
	switch c.rng.IntN(faults) {
	case 0:
		if v.up {
			c.restart(v, d/3)
		}
	case 1:
		c.tracef("%s partitioned from the store for %v", v.name, d)
		v.reachesStore = false
		c.after(d, func() { v.reachesStore = true })
	case 2:
		c.tracef("%s partitioned from its peers and the store for %v", v.name, d)
		v.reachesStore, v.reachesPeers = false, false
		c.after(d, func() { v.reachesStore, v.reachesPeers = true, true })
	case 3:
		c.tracef("store down for %v", d)
		c.storeUp = false
		c.after(d, func() { c.storeUp = true })
	case 4:
		if t.up {
			c.tracef("%s down for %v", t.id, d)
			t.up = false
			c.after(d, func() {
				t.start(c)
				c.tracef("%s back, started at %d", t.id, t.startedAt)
			})
		}
	case 5:
		c.tracef("%s partitioned from the store for %v", t.id, d)
		t.reachesStore = false
		c.after(d, func() { t.reachesStore = true })
	case 6:
		c.tracef("%s partitioned from all VMs but %s for %v", t.id, v.name, d)
		for _, o := range c.vms {
			t.cutOffFrom[o.name] = o != v
		}
		c.after(d, func() { clear(t.cutOffFrom) })
	case 8:
		c.restartQuickly(t, 3)
	case 9:
		c.storeUp = false
		c.after(d/4, func() {
			c.storeUp = true
			c.loseRecords(time.Duration(c.rng.IntN(9000)) * time.Millisecond)
		})
	case 7:
		c.tracef("all VMs killed")
		for _, o := range c.vms {
			if o.up {
				c.restart(o, time.Duration(300+c.rng.IntN(900))*time.Millisecond)
			}
		}
	}
}

// restartQuickly restarts a target several times in a row, before it is warm.
func (c *cluster) restartQuickly(t *simTarget, times int) {
	if !t.up || times == 0 {
		return
	}
	c.tracef("%s down briefly", t.id)
	t.up = false
	c.after(time.Duration(500+c.rng.IntN(400))*time.Millisecond, func() {
		t.start(c)
		c.tracef("%s back, started at %d", t.id, t.startedAt)
		c.after(time.Duration(300+c.rng.IntN(900))*time.Millisecond, func() { c.restartQuickly(t, times-1) })
	})
}

// TestStoreOutageKeepsGrants guards against grants that expire during an outage of
// the store: a majority without newer records continues renewing them.
func TestStoreOutageKeepsGrants(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, 5, 4)
	c.run(8 * time.Second)
	c.storeUp = false
	for range 60 {
		c.run(500 * time.Millisecond)
		is.Equal(c.unitsHeld(), Units) // 30 s without the store
	}
	is.Equal(len(c.violations), 0)
}

// TestLostTargetIsReplaced guards against keys of a lost target that stay
// unavailable for longer than a grant lasts while all VMs reply.
func TestLostTargetIsReplaced(t *testing.T) {
	is := is.New(t)
	c := newCluster(2, 5, 4)
	c.run(8 * time.Second)
	c.targets[0].up = false
	for _, v := range c.vms {
		v.step(Unreachable{Target: c.targets[0].id})
	}
	c.run(longestGrant(minGrantDuration) + 1500*time.Millisecond)
	is.Equal(c.unitsHeld(), Units)
	is.Equal(len(c.violations), 0)
}

// TestReplacedAssignerGrantsNothing guards against a leader that was partitioned
// and replaced, and that carries out one of its earlier moves after the partition
// heals: the late grant covers keys that another target has been granted since.
// Seen in deployment ssg-hook, run trouble-3, where a key had two owners one
// second after a partition healed.
func TestReplacedAssignerGrantsNothing(t *testing.T) {
	is := is.New(t)
	a := NewAssigner(Leader{VM: "v0"}, true)
	assignments := NewAssignments()
	assignments.Set(7, Assignment{Owner: Holder{Target: "t1"}, Token: 5, Previous: Holder{Target: "t0"}})
	view := &View{Leader: Leader{VM: "v0"}, Services: map[core.Service]*Assignments{service: assignments}, Next: 6}
	now := core.Instant(time.Hour)
	a.Step(now, MembersChanged{View: roster.New(roster.Member{VM: "v0"}).View()})
	a.Step(now, TargetsChanged{View: targetsView(discovery.Registration{ID: "t1", Service: service})})
	out := a.Step(now, LedgerChanged{View: view, AsOf: now})
	id := MoveID{Service: service, From: 7, Token: 5}
	is.True(hasOutput[Release](out))
	late := now.Add(MaxLedgerAge + time.Millisecond)
	out = a.Step(late, Released{Move: id, Outcome: ReleaseConfirmed})
	is.True(!hasOutput[Grant](out)) // its ledger is too old
	out = a.Step(late, LedgerChanged{View: view, AsOf: late})
	is.True(hasOutput[Grant](out)) // nothing has changed in the meantime
}

func hasOutput[T Output](out []Output) bool {
	for _, o := range out {
		if _, ok := o.(T); ok {
			return true
		}
	}
	return false
}

// TestNextAppendWaitsForTheLedger guards against an assigner that conflicts with
// its own append, because the append is confirmed before it appears in the ledger.
func TestNextAppendWaitsForTheLedger(t *testing.T) {
	is := is.New(t)
	a := NewAssigner(Leader{VM: "v0"}, true)
	now := core.Instant(time.Hour)
	a.Step(now, MembersChanged{View: roster.New(roster.Member{VM: "v0"}).View()})
	is.True(hasOutput[Append](a.Step(now, LedgerChanged{View: &View{}, AsOf: now})))
	now = now.Add(2 * leaderRenewInterval)
	is.True(!hasOutput[Append](a.Step(now, Appended{Next: 1})))
	view := &View{Leader: Leader{VM: "v0"}, Next: 1, StreamEnd: 1}
	is.True(hasOutput[Append](a.Step(now, LedgerChanged{View: view, AsOf: now})))
}

// TestFailedAppendIsNotRepeatedAtOnce guards against a busy loop of appends while
// the store rejects them.
func TestFailedAppendIsNotRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	a := NewAssigner(Leader{VM: "v0"}, true)
	now := core.Instant(time.Hour)
	a.Step(now, MembersChanged{View: roster.New(roster.Member{VM: "v0"}).View()})
	view := &View{Leader: Leader{VM: "v0"}, Next: 1, StreamEnd: 1}
	is.True(hasOutput[Append](a.Step(now, LedgerChanged{View: view, AsOf: now})))
	now = now.Add(2 * leaderRenewInterval)
	is.True(!hasOutput[Append](a.Step(now, Appended{Err: replica.ErrExpired})))
	is.True(!hasOutput[Append](a.Step(now.Add(appendBackoff/2), Tick{})))
}

// TestRestartedTargetIsNotRenewed guards against renewing the old grant of a
// target that was restarted under the same id: the new process must get the keys
// with a new token.
func TestRestartedTargetIsNotRenewed(t *testing.T) {
	is := is.New(t)
	now := core.Instant(time.Hour)
	r := NewRenewer(now)
	assignments := NewAssignments()
	for u := range Units {
		assignments.Set(u, Assignment{Owner: Holder{Target: "t0", StartedAt: 1}, Token: 5})
	}
	r.Step(now, MembersChanged{View: roster.New(roster.Member{VM: "v0"}).View()})
	r.Step(now, TargetsChanged{View: targetsView(discovery.Registration{ID: "t0", Service: service, StartedAt: 1})})
	out := r.Step(now, LedgerChanged{View: &View{Services: map[core.Service]*Assignments{service: assignments}, Next: 6}, AsOf: now})
	is.True(hasOutput[Renew](out))
	r.Step(now, Renewed{Holder: Holder{Target: "t0", StartedAt: 1}, Responses: 1})

	now = now.Add(confirmationTTL + RenewInterval)
	out = r.Step(now, LedgerChanged{View: &View{Services: map[core.Service]*Assignments{service: assignments}, Next: 6}, AsOf: now})
	is.True(out[0].(Renew).Verify) // the last response is too old
	r.Step(now, Renewed{Holder: Holder{Target: "t0", StartedAt: 1}, Restarted: true})
	r.Step(now.Add(time.Second), DirectoryRead{AsOf: now.Add(time.Second)})
	is.True(!hasOutput[Renew](r.Step(now.Add(time.Second), Tick{})))

	r.Step(now, TargetsChanged{View: targetsView(discovery.Registration{ID: "t0", Service: service, StartedAt: 2})})
	later := now.Add(2 * restartResolveTime)
	r.Step(later, DirectoryRead{AsOf: later})
	is.True(!hasOutput[Renew](r.Step(later, LedgerChanged{View: &View{Services: map[core.Service]*Assignments{service: assignments}, Next: 6}, AsOf: later})))
}

func targetsView(registrations ...discovery.Registration) *discovery.View {
	v := &discovery.View{Targets: map[core.Target]*discovery.Target{}, ByService: map[core.Service][]*discovery.Target{}}
	for _, e := range registrations {
		t := &discovery.Target{Registration: e}
		v.Targets[e.ID] = t
		v.ByService[e.Service] = append(v.ByService[e.Service], t)
	}
	return v
}

// TestLedgerRoundTrip guards against units that are lost or changed when blocks of
// the ledger are encoded and decoded.
func TestLedgerRoundTrip(t *testing.T) {
	is := is.New(t)
	assignments := NewAssignments()
	for u := range Units {
		assignment := Assignment{Owner: Holder{Target: core.Target("t" + strconv.Itoa(u/37)), StartedAt: 3, Address: "10.0.0.1:1"}, Token: int64(u / 500)}
		if u%11 == 0 {
			assignment.Previous = Holder{Target: "old", StartedAt: 2, Address: "10.0.0.2:1"}
		}
		assignments.Set(u, assignment)
	}
	l := NewLedger()
	for block := range numBlocks {
		r, err := encodeBlock(service, block, assignments, 0)
		is.NoErr(err)
		is.NoErr(l.Apply([]replica.Record{r}, int64(block)))
	}
	for u := range Units {
		is.Equal(l.View().Services[service].At(u), assignments.At(u))
	}
}

// TestLedgerSkipsUnreadableRecords guards against an invalid record that prevents
// others from being applied.
func TestLedgerSkipsUnreadableRecords(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	err := l.Apply([]replica.Record{
		{Key: "seats/notanumber", Value: []byte("[]")},
		{Key: "seats/0", Value: []byte(`[{"from":-1,"to":99999,"owner":{"target":"t0"}}]`)},
		{Key: leaderKey, Value: []byte(`{"vm":"v0","incarnation":4}`)},
	}, 3)
	is.True(err != nil)
	is.Equal(l.View().Leader, Leader{VM: "v0", Incarnation: 4})
	is.Equal(len(l.View().Services), 0)
}

// TestAssignmentsAreCompacted guards against an assignment table that grows with
// every move.
func TestAssignmentsAreCompacted(t *testing.T) {
	is := is.New(t)
	a := NewAssignments()
	for i := range maxTableEntries + 1 {
		a.Set(0, Assignment{Owner: Holder{Target: "t0"}, Token: int64(i)})
	}
	a = a.Clone()
	is.Equal(len(a.table), 2)
	is.Equal(a.At(0).Token, int64(maxTableEntries))
}

// TestDrainingOwnerMovesInBatches guards against all keys of a draining owner
// being unavailable at once, while it could still serve most of them. The keys of
// a lost owner all move at once.
func TestDrainingOwnerMovesInBatches(t *testing.T) {
	is := is.New(t)
	old, next := Holder{Target: "a", StartedAt: 1, Address: "a"}, Holder{Target: "b", StartedAt: 1, Address: "b"}
	for _, tc := range []struct {
		serves bool
		moving int
		want   int
	}{
		{serves: true, want: Units / drainBatchDivisor},
		{serves: true, moving: Units / drainBatchDivisor, want: 0},
		{serves: true, moving: Units / drainBatchDivisor / 2, want: Units/drainBatchDivisor - Units/drainBatchDivisor/2},
		{serves: false, want: Units},
	} {
		assignments := NewAssignments()
		for u := range Units {
			assignments.Set(u, Assignment{Owner: old, Token: 1})
		}
		for u := range tc.moving {
			assignments.Set(u, Assignment{Owner: next, Token: 2, Previous: old})
		}
		to := &candidate{holder: next, capacity: 100}
		r := &rebalancer{service: service, assignments: assignments, unitLoads: &[Units]float64{}, candidates: []*candidate{to}, byID: map[core.Target]*candidate{"b": to}}
		got := len(r.reassignLost(func(h Holder) bool { return tc.serves && h == old }))
		is.True(got >= tc.want && got < tc.want+maxRangeUnits) // ranges are not split
	}
}

// TestReportsOfUnreachableTargets guards against keys that stay unavailable until
// the leader itself sends a request to a lost owner, and against removing an owner
// that only one failure domain cannot reach.
func TestReportsOfUnreachableTargets(t *testing.T) {
	is := is.New(t)
	start := core.Instant(time.Hour)
	a := NewAssigner(Leader{VM: "v0", Incarnation: 1}, true)
	r := roster.New(roster.Member{VM: "v0", FailureDomain: "d0"})
	for _, m := range []roster.Member{{VM: "v0", FailureDomain: "d0"}, {VM: "v1", FailureDomain: "d0"}, {VM: "v2", FailureDomain: "d1"}} {
		r.Renew(start, m)
	}
	a.Step(start, MembersChanged{View: r.View()})
	target := &discovery.Target{Registration: discovery.Registration{ID: "t", Address: "t"}}
	a.Step(start, LoadReport{VM: "v0", Unreachable: []core.Target{"t"}})
	a.Step(start, LoadReport{VM: "v1", Unreachable: []core.Target{"t"}})
	is.True(a.eligible(start, target))
	late := start.Add(unreachableReportTTL + time.Millisecond)
	a.Step(late, LoadReport{VM: "v2", Unreachable: []core.Target{"t"}})
	is.True(a.eligible(late, target)) // the other reports are too old
	a.Step(late, LoadReport{VM: "v0", Unreachable: []core.Target{"t"}})
	is.True(!a.eligible(late, target))
	is.True(a.eligible(late.Add(unreachableTTL+time.Millisecond), target))
}

// TestGrantOutlastsLongRequests guards against grants that end while a target
// runs a request that was sent in time: the target ends such work with a failure
// (a third of the requests that took over 1.5 s on the grown nrbsa-gateway). It
// also guards against a duration that shrinks: the waits before a key gets
// another owner must cover the grants of VMs with an older ledger.
func TestGrantOutlastsLongRequests(t *testing.T) {
	is := is.New(t)
	c := newCluster(4, 3, 4)
	c.run(4 * time.Second)
	duration := func() time.Duration { return c.vms[0].ledger.View().GrantDuration() }
	is.Equal(duration(), minGrantDuration)
	configure := func(longest time.Duration) {
		for _, v := range c.vms {
			v.longestRequest = longest
			v.step(v.services())
		}
		c.run(3 * time.Second)
	}
	configure(3 * time.Second)
	is.True(duration() >= 2*time.Second+RenewInterval && duration() < 3*time.Second)
	configure(time.Minute)
	is.Equal(duration(), maxGrantDuration)
	configure(time.Second)
	is.Equal(duration(), maxGrantDuration)
	c.run(5 * time.Second)
	is.Equal(len(c.violations), 0)

	r := NewRenewer(0)
	r.ledger = c.vms[0].ledger.View()
	renew := r.renew(c.now, &targetState{}, nil, false).(Renew)
	is.Equal(renew.Duration, maxGrantDuration)
	r.targetStates["t"] = &targetState{sentAt: c.now}
	is.Equal(r.grantQuery(c.now, GrantQuery{Target: "t"}).Remaining, longestGrant(maxGrantDuration))
}
