package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/routing"
)

// pausingService has eight targets of four slots. Every second one turns requests
// away and asks for a pause.
type pausingService struct {
	vms    []*Balancer
	random *rand.Rand
	// heeds is set if the balancers are told of the pauses.
	heeds  bool
	events map[core.Instant][]func(now core.Instant)
	// offered counts the requests of callers. Both runs of a test draw the same.
	offered, served int
	// sent holds the attempts at each pausing target, by VM, and pausedAt when the VM
	// was first told of the pause.
	sent     map[string][]core.Instant
	pausedAt map[string]core.Instant
}

const (
	pauseTime = 2 * time.Second
	// pauseTolerance is the time from which a pause binds.
	pauseTolerance = 500 * time.Millisecond
	pausingWork    = 60 * time.Millisecond
	pausingStep    = time.Millisecond
)

func newPausingService(vms int, heeds bool) *pausingService {
	var targets []discovery.Target
	for i := range 8 {
		targets = append(targets, warmTarget(fmt.Sprint("t", i)))
	}
	return &pausingService{
		vms: setup{members: vms, targets: targets, service: routing.Service{}, limits: RetryLimits{Ratio: 0.2, Extra: 58}}.fleet(), heeds: heeds,
		random: rand.New(rand.NewPCG(1, uint64(vms))), events: make(map[core.Instant][]func(core.Instant)),
		sent: make(map[string][]core.Instant), pausedAt: make(map[string]core.Instant),
	}
}

// run sends requests at a rate a second for a time.
func (s *pausingService) run(d time.Duration, rate float64) {
	for now := start; now.Before(start.Add(d)); now = now.Add(pausingStep) {
		for _, f := range s.events[now] {
			f(now)
		}
		delete(s.events, now)
		if vm := s.random.IntN(len(s.vms)); s.random.Float64() < rate*pausingStep.Seconds() {
			s.offered++
			s.attempt(now, vm, nil)
		}
	}
}

// attempt sends a request to a target, and once more if it is turned away.
func (s *pausingService) attempt(now core.Instant, vm int, tried []core.Target) {
	d := selectTarget(s.vms[vm], now, func(r *SelectTarget) {
		if r.Tried, r.Counted = tried, tried != nil; tried != nil {
			r.Kind = Retry
		}
	})
	if d.Verdict != Send {
		return
	}
	var i int
	_, _ = fmt.Sscanf(string(d.Target.ID), "t%d", &i)
	if i%2 == 0 {
		s.at(now.Add(pausingWork), func(now core.Instant) {
			s.served++
			s.vms[vm].Step(now, AttemptDone{Service: "s", Target: d.Target.ID, Result: Succeeded, Elapsed: pausingWork, Announced: &Announcement{}})
		})
		return
	}
	pair := fmt.Sprint(vm, " ", d.Target.ID)
	s.sent[pair] = append(s.sent[pair], now)
	s.at(now.Add(pausingStep), func(now core.Instant) {
		if _, known := s.pausedAt[pair]; !known {
			s.pausedAt[pair] = now
		}
		done := AttemptDone{Service: "s", Target: d.Target.ID, Result: Shed, Elapsed: pausingStep}
		if s.heeds {
			done.Announced = &Announcement{Pause: pauseTime}
		}
		s.vms[vm].Step(now, done)
		if tried == nil {
			s.attempt(now, vm, []core.Target{d.Target.ID})
		}
	})
}

func (s *pausingService) at(t core.Instant, f func(core.Instant)) {
	s.events[t] = append(s.events[t], f)
}

// mostInPause returns the largest number of attempts by a VM at a target from
// pauseTolerance after it was first told of a pause until its end.
func (s *pausingService) mostInPause() int {
	most := 0
	for pair, sent := range s.sent {
		n := 0
		for _, at := range sent {
			if since := at.Sub(s.pausedAt[pair]); since >= pauseTolerance && since < pauseTime {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against requests that are wasted on targets that want none for a time,
// while others have room, and against targets that get requests in their pause:
// half of a service turns requests away under a load that the other half can just
// serve.
func TestHalfOfAServiceWantsNoRequests(t *testing.T) {
	for _, vms := range []int{1, 9, 95} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			const rate = 4 * 4 / 0.06 * 0.8 // four fifths of what four targets serve
			heeding, ignoring := newPausingService(vms, true), newPausingService(vms, false)
			heeding.run(20*time.Second, rate)
			ignoring.run(20*time.Second, rate)
			if most := heeding.mostInPause(); most > 2 {
				t.Errorf("a VM sent %d requests to a target in its pause, 2 are allowed", most)
			}
			t.Logf("of %d requests %d are served, %d if pauses are ignored", heeding.offered, heeding.served, ignoring.served)
			// With few VMs the targets that fail often are avoided all the same.
			if vms > 9 && heeding.served <= ignoring.served {
				t.Errorf("of %d requests %d are served, and %d if pauses are ignored", heeding.offered, heeding.served, ignoring.served)
			}
		})
	}
}
