package ownership

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/roster"
)

// eraRecords returns the records of a ledger in which a target owns unit 0,
// written for an era, at successive offsets.
func eraRecords(t *testing.T, target core.Target, writtenFor, era, index int64) []replica.Record {
	is := is.New(t)
	assignments := NewAssignments()
	assignments.Set(0, Assignment{Owner: Holder{Target: target}, Token: replica.NewOffset(writtenFor, index+1)})
	block, err := encodeBlock(service, 0, assignments, writtenFor)
	is.NoErr(err)
	leader, err := encodeLeader(Leader{VM: "v0"}, minGrantDuration, writtenFor, ConfirmedByAll)
	is.NoErr(err)
	block.Offset, leader.Offset = replica.NewOffset(era, index), replica.NewOffset(era, index+1)
	return []replica.Record{block, leader}
}

func ownerOfUnit0(l *Ledger) core.Target {
	if l.View().Services[service] == nil {
		return ""
	}
	return l.View().Services[service].At(0).Owner.Target
}

// Guards against owners that revert to older ones when the store has lost its
// newest records, and against a ledger that stays out of force once it is restored.
func TestLedgerKeepsOwnersUntilItIsRestored(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	is.NoErr(l.Apply(eraRecords(t, "old", 1, 1, 0), replica.NewOffset(1, 2)))
	is.NoErr(l.Apply(eraRecords(t, "new", 1, 1, 2), replica.NewOffset(1, 4)))
	is.True(l.View().InForce())

	is.NoErr(l.Apply(eraRecords(t, "old", 1, 2, 0), replica.NewOffset(2, 2)))
	is.True(!l.View().InForce())
	is.Equal(ownerOfUnit0(l), core.Target("new"))
	is.Equal(l.View().Next, replica.NewOffset(1, 4))

	is.NoErr(l.Apply(eraRecords(t, "new", 2, 2, 2), replica.NewOffset(2, 4)))
	is.True(l.View().InForce())
	is.Equal(ownerOfUnit0(l), core.Target("new"))
	is.Equal(l.View().Next, replica.NewOffset(2, 4))
}

// Guards against an append of a VM that has not noticed the loss, whose offset
// happens to be the end of the stream in the new era: its records revert what was
// written there since.
func TestAppendForAnEarlierEraIsIgnored(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	is.NoErr(l.Apply(eraRecords(t, "new", 2, 2, 0), replica.NewOffset(2, 2)))
	is.True(l.Apply(eraRecords(t, "old", 1, 2, 2), replica.NewOffset(2, 4)) != nil)
	is.Equal(ownerOfUnit0(l), core.Target("new"))
	is.True(l.View().Overwritten > 0)

	// The leader replaces these records in the store, once.
	a := NewAssigner(Leader{VM: "v0"}, false)
	now := core.Instant(time.Hour)
	a.Step(now, MembersChanged{View: roster.New(roster.Member{VM: "v0"}).View()})
	a.appendedAt = now // its leadership isn't due
	is.True(hasOutput[Append](a.Step(now, LedgerChanged{View: l.View(), AsOf: now})))
	a.Step(now, Appended{Next: replica.NewOffset(2, 6)})
	is.NoErr(l.Apply(eraRecords(t, "new", 2, 2, 4), replica.NewOffset(2, 6)))
	is.True(!hasOutput[Append](a.Step(now, LedgerChanged{View: l.View(), AsOf: now})))
}

// lossStep steps an assigner that led in era 1 up to its query of the other VMs
// after a loss, and returns its next outputs for a result of it.
func lossStep(t *testing.T, leading bool, result QuorumResult, age time.Duration) []Output {
	is := is.New(t)
	self := Leader{VM: "v0"}
	if !leading {
		self.VM = "v1"
	}
	a := NewAssigner(self, false)
	l := NewLedger()
	members := roster.New(roster.Member{VM: self.VM})
	members.Renew(0, roster.Member{VM: "other"})
	members.Renew(0, roster.Member{VM: "third"})
	now := core.Instant(time.Hour)
	a.Step(now, MembersChanged{View: members.View()})
	is.NoErr(l.Apply(eraRecords(t, "new", 1, 1, 0), replica.NewOffset(1, 2)))
	now = now.Add(time.Second)
	a.Step(now, LedgerChanged{View: l.View(), AsOf: now})
	a.appendPending = false
	is.NoErr(l.Apply(nil, replica.NewOffset(2, 0)))
	a.Step(now, LedgerChanged{View: l.View(), AsOf: now})
	now = now.Add(age)
	a.appendRetryAt, a.streamAsOf = 0, now
	a.appendPending = false
	return a.Step(now, result)
}

// Guards against a ledger that is restored as confirmed although a VM that did not
// answer, or a leader that still acts, may have moved keys by lost records.
func TestConfirmationOfARestoredLedger(t *testing.T) {
	tests := []struct {
		name    string
		leading bool
		result  QuorumResult
		age     time.Duration
		want    Confirmation
		wait    bool
	}{
		{"leader, all agree", true, QuorumResult{Agreeing: 2}, 0, ConfirmedByAll, false},
		{"leader, one doesn't answer yet", true, QuorumResult{Agreeing: 1}, 0, 0, true},
		{"leader, one doesn't answer", true, QuorumResult{Agreeing: 1}, restoreMajorityAge, ConfirmedByMajority, false},
		{"not the leader, all agree", false, QuorumResult{Agreeing: 2}, restoreMajorityAge, ConfirmedByMajority, false},
		{"one knows more", true, QuorumResult{Agreeing: 1, Newer: 1}, restoreMajorityAge, 0, true},
		{"nobody answers", true, QuorumResult{}, restoreMajorityAge, 0, true},
		{"nobody answers for long", true, QuorumResult{}, restoreTimeout, Unconfirmed, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var appended []replica.Record
			for _, o := range lossStep(t, test.leading, test.result, test.age) {
				if o, ok := o.(Append); ok {
					appended = o.Records
				}
			}
			is.Equal(len(appended) == 0, test.wait)
			if test.wait {
				return
			}
			l := NewLedger()
			for i := range appended {
				appended[i].Offset = replica.NewOffset(2, int64(i))
			}
			is.NoErr(l.Apply(appended, replica.NewOffset(2, int64(len(appended)))))
			is.True(l.View().InForce())
			is.Equal(l.View().Restored, test.want)
			is.Equal(ownerOfUnit0(l), core.Target("new"))
		})
	}
}

// Guards against an unconfirmed ledger by which grants are renewed: a target may
// hold the keys under a record that is lost.
func TestUnconfirmedLedgerIsNotRenewed(t *testing.T) {
	for _, c := range []Confirmation{ConfirmedByAll, ConfirmedByMajority, Unconfirmed} {
		is := is.New(t)
		now := core.Instant(time.Hour)
		r := NewRenewer(now)
		assignments := NewAssignments()
		assignments.Set(0, Assignment{Owner: Holder{Target: "t0"}, Token: 1})
		r.Step(now, MembersChanged{View: roster.New(roster.Member{VM: "v0"}).View()})
		r.Step(now, TargetsChanged{View: targetsView(discovery.Registration{ID: "t0", Service: service})})
		r.Step(now, DirectoryRead{AsOf: now})
		view := &View{Services: map[core.Service]*Assignments{service: assignments}, Next: 6, StreamEnd: 6, Restored: c}
		is.Equal(hasOutput[Renew](r.Step(now, LedgerChanged{View: view, AsOf: now})), c != Unconfirmed)
	}
}

// Guards against a ledger that counts as confirmed although the one that the store
// still holds was not, and this VM has missed its records.
func TestUnconfirmedLedgerOfTheStoreStaysUnconfirmed(t *testing.T) {
	is := is.New(t)
	a := NewAssigner(Leader{VM: "v0"}, false)
	now := core.Instant(time.Hour)
	a.Step(now, MembersChanged{View: roster.New(roster.Member{VM: "v0"}).View()})
	l := NewLedger()
	is.NoErr(l.Apply(eraRecords(t, "old", 1, 1, 0), replica.NewOffset(1, 2)))
	unconfirmed, err := encodeLeader(Leader{VM: "v1"}, minGrantDuration, 1, ConfirmedByMajority)
	is.NoErr(err)
	unconfirmed.Offset = replica.NewOffset(2, 2)
	is.NoErr(l.Apply(append(eraRecords(t, "new", 1, 2, 0), unconfirmed), replica.NewOffset(2, 3)))
	a.ledger = l.View()
	for _, o := range a.appendLedger(now, ConfirmedByAll, false) {
		if o, ok := o.(Append); ok {
			var leader leaderRecord
			is.NoErr(json.Unmarshal(o.Records[len(o.Records)-1].Value, &leader))
			is.Equal(leader.Restored, ConfirmedByMajority)
			return
		}
	}
	t.Error("nothing is appended")
}
