package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/roster"
)

const start = core.Instant(time.Hour)

var (
	harmful = NewFingerprint([]byte("GET"), []byte("/harmful"))
	beside  = NewFingerprint([]byte("GET"), []byte("/beside"))
)

func process(i int) Process {
	return Process{Target: core.Target(fmt.Sprint("t", i)), StartedAt: int64(i)}
}

// fleet is a set of VMs that exchange evidence on a virtual clock.
type fleet struct {
	now  core.Instant
	vms  []*Duty
	view []*View
	// cut holds the VMs that exchange nothing with the others.
	cut map[int]bool
}

func newFleet(vms int) *fleet {
	f := &fleet{now: start, vms: make([]*Duty, vms), view: make([]*View, vms), cut: make(map[int]bool)}
	for i := range vms {
		f.restart(i)
	}
	return f
}

func (f *fleet) restart(i int) {
	f.vms[i], f.view[i] = NewDuty(), nil
	r := roster.New(roster.Member{VM: core.VM(fmt.Sprint("v", i))})
	for j := range f.vms {
		r.Renew(f.now, roster.Member{VM: core.VM(fmt.Sprint("v", j))})
	}
	f.step(i, MembersChanged{View: r.View()})
}

// step passes a message to a VM and delivers the evidence that it sends at once.
func (f *fleet) step(i int, m Message) {
	for _, o := range f.vms[i].Step(f.now, m) {
		switch o := o.(type) {
		case ViewUpdated:
			f.view[i] = o.View
		case SendReply:
			o.To <- o.Reply
		case SendEvidence:
			for j := range f.vms {
				if j != i && !f.cut[i] && !f.cut[j] {
					f.step(j, EvidenceReceived(o))
				}
			}
		}
	}
}

// compare compares the evidence of each VM with that of the first one.
func (f *fleet) compare() {
	for i := 1; i < len(f.vms); i++ {
		if f.cut[i] || f.cut[0] {
			continue
		}
		reply := make(chan CompareReply, 1)
		f.step(0, Compare{Digest: f.view[i].Digest, Reply: reply})
		r := <-reply
		f.step(i, EvidenceReceived{Evidence: r.Evidence})
		if r.Different {
			all := make(chan CompareReply, 1)
			f.step(i, Compare{Reply: all})
			f.step(0, EvidenceReceived{Evidence: (<-all).Evidence})
		}
	}
}

// crash lets a process end under requests at a VM.
func (f *fleet) crash(i int, p Process, requests ...Fingerprint) {
	for _, r := range requests {
		f.step(i, AttemptLost{Request: r, Process: p})
	}
	f.step(i, ProcessEnded{Process: p})
}

// Guards against a request that ends process after process: with the request
// arriving at all VMs all the time, few processes may end under it, and after the
// third none within an hour.
func TestHarmfulRequestEndsFewProcesses(t *testing.T) {
	for _, vms := range []int{1, 9, 95} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(vms)
			random := rand.New(rand.NewPCG(1, uint64(vms)))
			var ended []core.Instant
			for f.now.Sub(start) < 30*time.Minute {
				f.now = f.now.Add(time.Duration(20+random.IntN(200)) * time.Millisecond)
				i := random.IntN(vms)
				a := f.view[i].Admit(f.now, harmful)
				if !a.Held {
					ended = append(ended, f.now)
					f.crash(i, process(len(ended)), harmful)
				}
				if a.Done != nil {
					a.Done()
				}
			}
			is.Equal(len(ended), 3)
			is.True(ended[1].Sub(ended[0]) >= holdTimes[0])
			is.True(ended[2].Sub(ended[1]) >= holdTimes[1])
		})
	}
}

// Guards against requests that are refused for good because they ran beside a
// harmful one: a response excuses them on all VMs.
func TestRequestBesideAHarmfulOneIsExcused(t *testing.T) {
	is := is.New(t)
	f := newFleet(9)
	f.crash(0, process(1), harmful, beside)
	is.True(f.view[5].Admit(f.now, beside).Held)
	f.step(3, Answered{Request: beside})
	for i := range f.vms {
		is.True(!f.view[i].Admit(f.now, beside).Held)
		is.True(f.view[i].Admit(f.now, harmful).Held)
	}
	f.crash(2, process(2), beside) // a later end counts as the first one
	is.True(f.view[5].Admit(f.now, beside).Held)
	f.now = f.now.Add(holdTimes[0] + time.Duration(len(f.vms))*trialStagger)
	is.True(!f.view[5].Admit(f.now, beside).Held)
}

// Guards against a request that is suspected although the process that closed its
// connection goes on, and against one that isn't because the messages come in
// another order.
func TestLostConnectionAloneIsNoEvidence(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.step(0, AttemptLost{Request: harmful, Process: process(1)})
	is.True(f.view[0].Empty())
	f.now = f.now.Add(confirmTime)
	f.step(0, Tick{})
	f.step(0, ProcessEnded{Process: process(1)}) // too late to be the cause
	is.True(f.view[0].Empty())
	f.step(0, ProcessEnded{Process: process(2)})
	f.step(0, AttemptLost{Request: harmful, Process: process(2)})
	is.True(f.view[0].Admit(f.now, harmful).Held)
}

// Guards against a VM that was cut off or started again and doesn't know what the
// others have seen, or that keeps what it has seen alone.
func TestVMsCatchUp(t *testing.T) {
	is := is.New(t)
	f := newFleet(9)
	f.cut[4] = true
	f.crash(1, process(1), harmful)
	f.crash(4, process(2), harmful)
	is.True(f.view[4].Admit(f.now, harmful).Held)
	is.Equal(f.vms[4].entries[harmful].count(), 1)
	delete(f.cut, 4)
	f.compare()
	f.compare()
	f.restart(7)
	f.compare()
	for i := range f.vms {
		is.Equal(f.vms[i].entries[harmful].count(), 2)
		is.Equal(f.view[i].Digest, f.view[0].Digest)
		is.True(f.view[i].Admit(f.now.Add(holdTimes[1]-time.Second), harmful).Held)
	}
}

// Guards against two VMs that try a request at the same time, and one that tries it
// twice at a time.
func TestOneTrialAtATime(t *testing.T) {
	is := is.New(t)
	f := newFleet(9)
	f.crash(0, process(1), harmful)
	f.now = f.now.Add(holdTimes[0])
	admitted := 0
	for i := range f.vms {
		a := f.view[i].Admit(f.now, harmful)
		if a.Held {
			continue
		}
		admitted++
		is.True(a.Suspected)
		is.True(f.view[i].Admit(f.now, harmful).Held)
		f.step(i, MembersChanged{View: f.vms[i].members}) // a new view keeps the trial
		is.True(f.view[i].Admit(f.now, harmful).Held)
		a.Done()
		is.True(!f.view[i].Admit(f.now, harmful).Held)
	}
	is.Equal(admitted, 1)
}

// Guards against evidence that grows without bound, and that is never forgotten.
func TestEvidenceIsBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.crash(0, process(1), harmful)
	f.crash(0, process(2), harmful)
	for i := range 3 * maxRequests {
		f.crash(0, process(i+10), NewFingerprint([]byte(fmt.Sprint(i))))
	}
	is.Equal(len(f.vms[0].entries), maxRequests)
	is.Equal(f.vms[0].entries[harmful].count(), 2) // what repeats is kept
	for i := range 3 * maxProcesses {
		f.crash(0, process(i+10), harmful)
	}
	f.now = f.now.Add(holdTimes[2])
	f.crash(0, process(100), harmful)
	is.Equal(len(f.vms[0].entries[harmful].ended), maxProcesses)
	is.True(f.view[0].Admit(f.now, harmful).Held) // the last end counts, however many there were
	f.now = f.now.Add(forgetUnrepeatedTime)
	f.step(0, Tick{})
	is.Equal(len(f.vms[0].entries), 1)
	f.now = f.now.Add(forgetTime)
	f.step(0, Tick{})
	is.True(f.view[0].Empty())
	is.Equal(len(f.vms[0].lost)+len(f.vms[0].ended), 0)
}

// Guards against fingerprints that are equal for different requests.
func TestFingerprintSeparatesParts(t *testing.T) {
	is := is.New(t)
	is.True(NewFingerprint([]byte("ab"), []byte("c")) != NewFingerprint([]byte("a"), []byte("bc")))
	is.True(NewFingerprint([]byte("a")) != NewFingerprint([]byte("a"), nil))
	is.Equal(NewFingerprint([]byte("a")), NewFingerprint([]byte("a")))
}
