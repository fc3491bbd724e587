package ownership

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
)

// TestLoadIsRebalanced guards against a hot range of keys that stays at one
// target.
func TestLoadIsRebalanced(t *testing.T) {
	is := is.New(t)
	c := newCluster(3, 3, 4)
	c.run(8 * time.Second)
	hot := map[int]float64{}
	for u := range 64 {
		hot[u] = 2 // 128 requests/s on 64 units; a target has capacity for 40
	}
	for range 6 {
		for _, v := range c.vms {
			v.step(LoadReport{VM: "v0", UnitLoads: map[core.Service]map[int]float64{service: hot}})
		}
		c.run(time.Second)
	}
	load := map[core.Target]float64{}
	for u := range 64 {
		load[c.vms[0].ledger.View().Services[service].At(u).Owner.Target] += hot[u]
	}
	for id, l := range load {
		if l > 128*0.45 {
			t.Fatalf("target %s still has %.0f of 128 requests a second", id, l)
		}
	}
	is.Equal(len(c.violations), 0)
}

func newTestRebalancer(capacities ...float64) *rebalancer {
	r := &rebalancer{service: service, assignments: NewAssignments(), unitLoads: &[Units]float64{}, byID: map[core.Target]*candidate{}}
	for i, capacity := range capacities {
		c := &candidate{holder: Holder{Target: core.Target(strconv.Itoa(i)), StartedAt: 1}, capacity: capacity}
		r.candidates = append(r.candidates, c)
		r.byID[c.holder.Target] = c
	}
	return r
}

func (r *rebalancer) assignTo(u, to int, load float64) {
	r.unitLoads[u] = load
	r.totalLoad += load
	n := r.assignUnit(u, r.candidates[to])
	n.assignment.Token = 1
	r.assignments.Set(u, n.assignment)
}

// TestHotUnitMovesToAFasterTarget guards against a hot key that stays at a slow
// target while a fast one could serve it.
func TestHotUnitMovesToAFasterTarget(t *testing.T) {
	is := is.New(t)
	r := newTestRebalancer(17, 38, 38)
	r.assignTo(0, 0, 20)
	for u := 1; u < 40; u++ {
		r.assignTo(u, 1+u%2, 0.5)
	}
	changes := r.levelLoad()
	is.True(len(changes) > 0)
	is.Equal(changes[0].unit, 0)
	is.True(changes[0].assignment.Owner.Target != "0")
	for _, c := range r.candidates {
		is.True(c.utilisation() < 0.9)
	}
}

// TestHotUnitDoesNotBlockOthers guards against a hot key that cannot be moved and
// prevents rebalancing of all other targets.
func TestHotUnitDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	r := newTestRebalancer(26, 26, 26, 26)
	r.assignTo(0, 0, 25)
	for u := 1; u < 60; u++ {
		r.assignTo(u, 1+u%4/3, 0.6) // most of them at target 1
	}
	is.True(r.candidates[1].utilisation() > 0.8)
	r.levelLoad()
	is.True(r.candidates[1].utilisation() <= sourceUtilisationFactor*r.meanUtilisation())
	is.Equal(r.assignments.At(0).Owner.Target, core.Target("0"))
}

// TestRandomArrivalsMoveNothing guards against moving keys of a large service all
// day: the counts of one second differ between targets although their loads are
// equal, and each move makes its keys unavailable. The pattern is a service of
// many targets with a few requests a second each.
func TestRandomArrivalsMoveNothing(t *testing.T) {
	is := is.New(t)
	const targets, seconds, perTarget = 141, 40, 6.0
	random := rand.New(rand.NewPCG(5, 1))
	loads := newLoadReports()
	r := newTestRebalancer(slices.Repeat([]float64{8.7}, targets)...)
	for u := range Units {
		n := r.assignUnit(u, r.candidates[u%targets])
		n.assignment.Token = 1
		r.assignments.Set(u, n.assignment)
	}
	moved := 0.0
	for second := range seconds {
		counts := make(map[int]float64)
		for range poisson(random, targets*perTarget) {
			counts[random.IntN(Units)]++
		}
		loads.add(core.Instant(time.Hour).Add(time.Duration(second)*time.Second), LoadReport{VM: "v0", UnitLoads: map[core.Service]map[int]float64{service: counts}})
		loads.update(service)
		r.unitLoads, r.totalLoad = loads.unitLoads(service)
		for i, c := range r.candidates {
			c.load = 0
			for u := i; u < Units; u += targets {
				c.load += r.unitLoads[u]
			}
		}
		trial := *r
		trial.now = core.Instant(time.Hour).Add(time.Duration(second) * time.Second)
		if second > 2 {
			for _, c := range trial.levelLoad() {
				moved += r.unitLoads[c.unit]
			}
		}
	}
	is.True(moved < 0.005*targets*perTarget*seconds) // keys that move are unavailable for about a second
}

// TestOverloadIsLevelledInAFewRounds guards against targets that stay overloaded
// for most of a minute because their load consists of many units with little load
// each. The pattern is a service whose slow targets got as many keys as the fast
// ones, or whose targets in a lost failure domain were replaced.
func TestOverloadIsLevelledInAFewRounds(t *testing.T) {
	is := is.New(t)
	capacities := slices.Concat(slices.Repeat([]float64{12}, 50), slices.Repeat([]float64{5}, 50))
	r := newTestRebalancer(capacities...)
	for u := range Units {
		r.assignTo(u, u/16%100, 5.0/Units*100)
	}
	is.True(r.candidates[99].utilisation() > 0.9)
	var movedAt [Units]core.Instant
	r.movedAt = &movedAt
	total := 0
	for round := range 4 {
		r.now = core.Instant(time.Hour).Add(time.Duration(round) * rebalanceInterval)
		for _, c := range r.levelLoad() {
			movedAt[c.unit] = r.now
			c.assignment.Token, c.assignment.Previous = int64(round+2), Holder{} // the move has ended
			r.assignments.Set(c.unit, c.assignment)
			total++
		}
	}
	worst := r.mostUtilised(nil).utilisation()
	is.True(worst <= 1.05*sourceUtilisationFactor*r.meanUtilisation())
	is.True(total < Units/4) // keys that move are unavailable for a while
}

// TestSurgeOfAUnitIsSeenAtOnce guards against smoothing that hides for seconds
// that a key has become hot.
func TestSurgeOfAUnitIsSeenAtOnce(t *testing.T) {
	is := is.New(t)
	loads := newLoadReports()
	report := func(rate float64) {
		loads.add(core.Instant(time.Hour), LoadReport{VM: "v0", UnitLoads: map[core.Service]map[int]float64{service: {3: rate, 4: 2}}})
		loads.update(service)
	}
	for range 20 {
		report(2)
	}
	report(30)
	units, _ := loads.unitLoads(service)
	is.True(units[3] >= 30)
	is.True(units[4] < 2.5)
}

// TestInvalidRatesAreIgnored guards against a report with an invalid rate that
// stops rebalancing for good.
func TestInvalidRatesAreIgnored(t *testing.T) {
	is := is.New(t)
	loads := newLoadReports()
	for _, rate := range []float64{math.Inf(1), math.NaN(), -1, 2} {
		loads.add(core.Instant(time.Hour), LoadReport{VM: "v0", UnitLoads: map[core.Service]map[int]float64{service: {3: rate, Units: 1, -1: 1}}})
		loads.update(service)
	}
	units, total := loads.unitLoads(service)
	is.True(units[3] > 0 && units[3] < 3)
	is.True(total < 3)
}

func poisson(random *rand.Rand, mean float64) (n int) {
	for t := random.ExpFloat64(); t < mean; t += random.ExpFloat64() {
		n++
	}
	return n
}

func newHeadroomCandidates(serviceTimes ...time.Duration) []*candidate {
	var out []*candidate
	for _, d := range serviceTimes {
		out = append(out, &candidate{serviceTime: d, capacity: 4 / d.Seconds()})
	}
	return out
}

// Guards against slow targets with the same utilisation as fast ones: on a calm day
// a third of the targets gave 1,013 of 1,430 late responses, while the others had
// room.
func TestSlowTargetsGetLessWhileOthersHaveRoom(t *testing.T) {
	is := is.New(t)
	const fast, slow, objective = 150 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond
	parts := func(load float64) (fastUtilisation, slowUtilisation float64) {
		c := newHeadroomCandidates(fast, fast, slow)
		slots := 4 / slow.Seconds()
		weighByHeadroom(c, objective, load)
		total := c[0].capacity + c[1].capacity + c[2].capacity
		return load / total * c[0].capacity / (4 / fast.Seconds()), load / total * c[2].capacity / slots
	}
	low, lowSlow := parts(20)
	is.True(lowSlow < low/2)
	is.True(lowSlow > 0) // its speed stays known
	high, highSlow := parts(56)
	is.True(highSlow > 0.85*high) // all targets are needed
	for load := 1.0; load < 60; load++ {
		f, s := parts(load)
		is.True(f >= s-1e-9)
		is.True(f <= max(maxFairUtilisation, load/(8/fast.Seconds()+4/slow.Seconds()))+1e-9) // the fast ones aren't overloaded for it
	}
}

// Guards against headroom that changes anything among equally fast targets.
func TestEqualTargetsKeepTheirCapacity(t *testing.T) {
	is := is.New(t)
	c := newHeadroomCandidates(time.Second, time.Second)
	weighByHeadroom(c, 500*time.Millisecond, 3)
	is.Equal(c[0].capacity, 4.0)
	is.Equal(c[1].capacity, 4.0)
}

// Guards against a hot key that no target can serve and that moves from one to the
// other: its requests were rejected for a quarter of the time.
func TestHotUnitStaysWhereNoTargetCanServeIt(t *testing.T) {
	is := is.New(t)
	for _, limited := range []bool{false, true} {
		for _, faster := range []float64{1.4, 1.6} {
			r := newTestRebalancer(25, 25*faster)
			r.limitHotUnits = limited
			r.assignTo(0, 0, 300)
			r.assignTo(1, 1, 5)
			moved := len(r.levelLoad()) > 0
			is.Equal(moved, !limited && faster > 1/hotUnitUtilisationRatio || faster > hotUnitSpeedup)
		}
	}
}
