package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/roster"
)

// newEvictingAssigner returns an assigner of a deployment with the given number of
// VMs.
func newEvictingAssigner(vms int) *Assigner {
	a := NewAssigner(Leader{VM: "v0"}, true)
	r := roster.New(roster.Member{VM: "v0", Address: "v0:1"})
	for i := 1; i < vms; i++ {
		r.Renew(1, roster.Member{VM: core.VM(fmt.Sprintf("v%d", i)), Address: "v:1"})
	}
	a.members = r.View()
	return a
}

func lost(i int) Holder { return Holder{Target: core.Target(fmt.Sprintf("t%d", i)), StartedAt: 1} }

// Guards against keys of a lost holder that wait again from the beginning each time
// that further keys of it move: with many targets lost one after the other, its
// first keys had no owner for up to 17 s.
func TestLaterRecordDoesNotRestartAnEviction(t *testing.T) {
	is := is.New(t)
	a := newEvictingAssigner(3)
	now := core.Instant(time.Hour)
	a.ledger.Next = 10
	first := a.evictionOf(now, Assignment{Previous: lost(1), Token: 10})
	first.unresponsive = true
	for i := range 3 {
		a.grantExpiry(now, GrantExpiry{Eviction: Eviction{Holder: lost(1), Offset: 10}, VM: core.VM(fmt.Sprintf("v%d", i)), Applied: true, Remaining: time.Second})
	}
	a.ledger.Next = 20
	second := a.evictionOf(now.Add(900*time.Millisecond), Assignment{Previous: lost(1), Token: 20})
	now = now.Add(time.Second)
	is.True(a.grantsExpired(now, first, time.Second))
	is.True(!a.grantsExpired(now, second, time.Second)) // its records may not be applied everywhere
	is.Equal(a.evictionOf(now, Assignment{Previous: lost(1), Token: 9}), first)
	is.Equal(a.evictionOf(now, Assignment{Previous: lost(1), Token: 15}), second)
	is.True(second.unresponsive) // a holder doesn't answer, whatever it is asked for
}

// Guards against a question for each pair of a lost holder and a VM: at 37 lost
// targets and 58 VMs, the leader couldn't ask all of them before the grants ended.
func TestOneQuestionToEachVMForAllLostHolders(t *testing.T) {
	is := is.New(t)
	const holders, vms = 37, 58
	a := newEvictingAssigner(vms)
	now := core.Instant(time.Hour)
	for i := range holders {
		a.evictionOf(now, Assignment{Previous: lost(i), Token: 1}).unresponsive = true
	}
	out := a.queryExpiries(now)
	is.Equal(len(out), 1)
	q := out[0].(QueryGrantExpiry)
	is.Equal(len(q.Evictions), holders)
	is.Equal(len(q.Members), vms)
	is.Equal(len(a.queryExpiries(now.Add(expiryQueryInterval/3))), 0)
	is.Equal(len(a.queryExpiries(now.Add(expiryQueryInterval))), 1)
	for _, m := range q.Members {
		for _, e := range q.Evictions[1:] {
			a.grantExpiry(now, GrantExpiry{Eviction: e, VM: m.VM, Applied: true})
		}
	}
	out = a.queryExpiries(now.Add(2 * expiryQueryInterval))
	is.Equal(out[0].(QueryGrantExpiry).Evictions, q.Evictions[:1]) // the others have been answered by all
}
