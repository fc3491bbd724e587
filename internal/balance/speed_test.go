package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/cost"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/routing"
)

// newKeyedSim returns a simulation of a sharded service with 64 keys, of which each
// target owns every eighth, and a load whose work depends on the key only.
func newKeyedSim(seed uint64, utilisation float64, work func(i, key int) time.Duration) (*costSim, []costRequest) {
	s := newCostSim(true)
	assignments := ownership.NewAssignments()
	for u := range ownership.Units {
		owner := core.Target(fmt.Sprint(u / 256 % costTargets))
		assignments.Set(u, ownership.Assignment{Owner: ownership.Holder{Target: owner}, Token: 1})
	}
	for _, vm := range s.vms {
		vm.Step(start, ServicesChanged{Services: map[core.Service]routing.Service{"s": {Name: "s", Sharded: true, LoadControl: true}}})
		vm.Step(start, OwnersChanged{View: &ownership.View{Services: map[core.Service]*ownership.Assignments{"s": assignments}}})
	}
	random := rand.New(rand.NewPCG(seed, 13))
	load := costLoad(seed, utilisation, 40000)
	for i := range load {
		key := random.IntN(64)
		load[i].work, load[i].key = work(i, key), uint16(key)<<10
		load[i].features = keyedFeatures(key)
	}
	return s, load
}

func keyedFeatures(key int) cost.Features {
	return cost.NewFeatures(cost.Attributes{Method: "GET", Path: "a", Key: uint16(key) << 10, Keyed: true})
}

// Guards against a slow target whose slowness is taken for the work of the keys that
// it owns: it would be reported as fast as the others and get more keys. The work of
// all requests doubles on the way, which must not count twice.
func TestTargetSpeedIsNotTakenForTheWorkOfKeys(t *testing.T) {
	const work = 60 * time.Millisecond
	s, load := newKeyedSim(1, 0.4, func(i, _ int) time.Duration {
		if i > 20000 {
			return 2 * work
		}
		return work
	})
	s.run(load)
	for i, vm := range s.vms {
		fast, slow := vm.targets["0"], vm.targets["2"]
		fastTime, slowTime := vm.reportedServiceTime(fast), vm.reportedServiceTime(slow)
		t.Logf("seed 1,13: VM %d: pace of a fast target %.2f, of a slow one %.2f; service times %v, %v", i, fast.pace, slow.pace, fastTime, slowTime)
		if slow.pace < 2*fast.pace {
			t.Error("the targets seem equally fast")
		}
		for d, speed := range map[time.Duration]float64{fastTime: 0.7, slowTime: 1.7} {
			if ratio := d.Seconds() / (speed * 2 * work.Seconds()); ratio < 0.7 || ratio > 1.4 {
				t.Errorf("service time %.2f of the actual one", ratio)
			}
		}
	}
}

// Guards against an expensive key that makes the other keys of its target look
// expensive.
func TestExpensiveKey(t *testing.T) {
	is := is.New(t)
	s, load := newKeyedSim(2, 0.4, func(_, key int) time.Duration {
		if key == 3 {
			return 600 * time.Millisecond
		}
		return 60 * time.Millisecond
	})
	s.run(load)
	now := load[len(load)-1].at
	vm := s.vms[0]
	w := func(key int) time.Duration {
		return vm.workOf(now, SelectTarget{Service: "s", Route: "r", Objective: costObjective, Features: keyedFeatures(key)}).request
	}
	t.Logf("seed 2,13: work of the expensive key %v, of another of the same target %v, of another %v; pace %.2f, %.2f",
		w(3), w(11), w(4), vm.targets["3"].pace, vm.targets["4"].pace)
	is.True(w(3) > 5*w(11))
	is.True(w(11) < 2*w(4))
	is.True(vm.targets["3"].pace < 2*vm.targets["4"].pace)
}
