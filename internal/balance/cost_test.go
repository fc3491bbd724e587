package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/cost"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/routing"
)

const (
	costObjective = 500 * time.Millisecond
	costDeadline  = 1500 * time.Millisecond
	costTargets   = 8
	costSlots     = 4
	costQueue     = 16
	costVMs       = 3
)

// costRequest is a request of a random load whose work depends on its path.
type costRequest struct {
	at       core.Instant
	vm       int
	key      uint16
	features cost.Features
	work     time.Duration
}

// costLoad returns a heavy-tailed load at the given utilisation of the targets. One
// request in 25 takes 60 times as long as most.
func costLoad(seed uint64, utilisation float64, count int) []costRequest {
	const sigma = 0.4
	random := rand.New(rand.NewPCG(seed, 11))
	classes := []struct {
		share float64
		mean  time.Duration
	}{{0.76, 20 * time.Millisecond}, {0.2, 120 * time.Millisecond}, {0.04, 1200 * time.Millisecond}}
	mean := 0.0
	for _, c := range classes {
		mean += c.share * c.mean.Seconds()
	}
	rate := utilisation * costTargets * costSlots / mean
	now := start
	out := make([]costRequest, count)
	for i := range out {
		now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		class, x := 0, random.Float64()
		for x -= classes[0].share; x > 0 && class < len(classes)-1; x -= classes[class].share {
			class++
		}
		out[i] = costRequest{
			at: now, vm: random.IntN(costVMs),
			work: time.Duration(float64(classes[class].mean) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)),
			features: cost.NewFeatures(cost.Attributes{
				Method: "POST", Path: fmt.Sprintf("class%d/%d", class, random.IntN(1000)),
				BodyBytes: random.IntN(1000), Caller: []string{fmt.Sprint(random.IntN(50))},
			}),
		}
	}
	return out
}

// simTarget is a target that runs requests in the order of their arrival.
type simTarget struct {
	speed   float64
	running int
	waiting []*simAttempt
}

type simAttempt struct {
	request  costRequest
	target   int
	sentAt   core.Instant
	endsAt   core.Instant
	decision Decision
}

type simEnds []*simAttempt

func (e simEnds) Len() int           { return len(e) }
func (e simEnds) Less(i, j int) bool { return e[i].endsAt < e[j].endsAt }
func (e simEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEnds) Push(x any)        { *e = append(*e, x.(*simAttempt)) }
func (e *simEnds) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// costSim runs a load on the virtual clock.
type costSim struct {
	vms       []*Balancer
	targets   [costTargets]simTarget
	ends      simEnds
	latencies []time.Duration
	rejected  int
	// decided is called with each decision, if it is set.
	decided func(vm *Balancer, now core.Instant, req SelectTarget, d Decision)
}

func newCostSim(loadControl bool) *costSim {
	s := &costSim{}
	var targets []discovery.Target
	for i := range s.targets {
		s.targets[i].speed = []float64{0.7, 0.7, 1.7}[i%3]
		t := warmTarget(fmt.Sprint(i))
		targets = append(targets, t)
	}
	s.vms = setup{members: costVMs, targets: targets, service: routing.Service{LoadControl: loadControl}}.fleet()
	return s
}

func (s *costSim) run(load []costRequest) {
	for _, r := range load {
		s.endUntil(r.at)
		s.send(r)
	}
	s.endUntil(math.MaxInt64)
}

func (s *costSim) send(r costRequest) {
	req := SelectTarget{
		Service: "s", Route: "r", Objective: costObjective, Priority: 2, Deadline: r.at.Add(costDeadline), Key: r.key, Features: r.features,
	}
	d := s.vms[r.vm].Step(r.at, req)[0].(DecisionReply).Decision
	if s.decided != nil {
		s.decided(s.vms[r.vm], r.at, req, d)
	}
	if d.Verdict != Send {
		s.rejected++
		return
	}
	i := int(d.Target.ID[0] - '0')
	a := &simAttempt{request: r, target: i, sentAt: r.at, decision: d}
	t := &s.targets[i]
	switch {
	case t.running < costSlots:
		s.begin(r.at, a)
	case len(t.waiting) < costQueue:
		t.waiting = append(t.waiting, a)
	default:
		s.rejected++
		s.vms[r.vm].Step(r.at, s.done(a, Shed, 0))
	}
}

func (s *costSim) begin(now core.Instant, a *simAttempt) {
	t := &s.targets[a.target]
	t.running++
	a.endsAt = now.Add(time.Duration(float64(a.request.work) * t.speed))
	heap.Push(&s.ends, a)
}

func (s *costSim) endUntil(now core.Instant) {
	for len(s.ends) > 0 && s.ends[0].endsAt <= now {
		a := heap.Pop(&s.ends).(*simAttempt)
		t := &s.targets[a.target]
		t.running--
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			s.begin(a.endsAt, next)
		}
		elapsed := a.endsAt.Sub(a.sentAt)
		s.latencies = append(s.latencies, elapsed)
		s.vms[a.request.vm].Step(a.endsAt, s.done(a, Succeeded, elapsed))
	}
}

func (s *costSim) done(a *simAttempt, r Result, elapsed time.Duration) AttemptDone {
	t := &s.targets[a.target]
	return AttemptDone{
		Service: "s", Route: "r", Objective: costObjective, Target: a.decision.Target.ID, Result: r, Elapsed: elapsed,
		Features: a.request.features, Attempt: a.decision.Attempt,
		Load: &TargetLoad{Running: t.running, Waiting: len(t.waiting), Slots: costSlots, Slowdown: 1},
	}
}

// figures returns the p99 latency of the answered requests, and the fraction of all
// requests that were answered within the objective.
func (s *costSim) figures() (p99 time.Duration, inTime float64) {
	slices.Sort(s.latencies)
	n, _ := slices.BinarySearch(s.latencies, costObjective+1)
	return s.latencies[len(s.latencies)*99/100], float64(n) / float64(len(s.latencies)+s.rejected)
}

// compareEstimates runs the same loads with the mean of the route and with the
// estimate by features. It returns the means of both over all seeds.
func compareEstimates(t *testing.T, load func(seed uint64) []costRequest) (p99 [2]time.Duration, inTime [2]float64) {
	const seeds = 5
	for seed := range uint64(seeds) {
		requests := load(seed)
		for i, loadControl := range []bool{false, true} {
			s := newCostSim(loadControl)
			s.run(requests)
			p, f := s.figures()
			t.Logf("seed %d,11: by features %v: p99 %v, in time %.4f, rejected %d of %d",
				seed, loadControl, p.Round(time.Millisecond), f, s.rejected, len(requests))
			p99[i], inTime[i] = p99[i]+p/seeds, inTime[i]+f/seeds
		}
	}
	t.Logf("mean of %d seeds: p99 %v, by features %v; in time %.4f, by features %.4f", seeds,
		p99[0].Round(time.Millisecond), p99[1].Round(time.Millisecond), inTime[0], inTime[1])
	return p99, inTime
}

// Guards against estimates by the features of requests that serve a load worse than
// the mean of the route does.
func TestEstimateByFeaturesIsNoWorse(t *testing.T) {
	for _, utilisation := range []float64{0.6, 0.8, 1.1} {
		t.Run(fmt.Sprint(utilisation), func(t *testing.T) {
			p99, inTime := compareEstimates(t, func(seed uint64) []costRequest { return costLoad(seed, utilisation, 20000) })
			if p99[1] > p99[0] || inTime[1] < inTime[0] {
				t.Fatal("worse than the mean of the route")
			}
		})
	}
}

// Guards against features that serve a load worse whose work depends on none of
// them.
func TestFeaturesWithoutDependenceAreNoWorse(t *testing.T) {
	p99, inTime := compareEstimates(t, func(seed uint64) []costRequest {
		load := costLoad(seed, 0.8, 20000)
		random := rand.New(rand.NewPCG(seed, 12))
		random.Shuffle(len(load), func(i, j int) { load[i].work, load[j].work = load[j].work, load[i].work })
		return load
	})
	if p99[1] > p99[0] || inTime[1] < inTime[0] {
		t.Fatal("worse than the mean of the route")
	}
}

// Guards against a change of decisions without load control: the features and the
// requests in flight must not matter, and the latency is expected as it was.
func TestWithoutLoadControlNothingChanges(t *testing.T) {
	is := is.New(t)
	load := costLoad(1, 0.9, 5000)
	plain := slices.Clone(load)
	for i := range plain {
		plain[i].features = cost.Features{}
	}
	var decisions [2][]Decision
	for i, l := range [][]costRequest{load, plain} {
		s := newCostSim(false)
		s.decided = func(vm *Balancer, now core.Instant, req SelectTarget, d Decision) {
			decisions[i] = append(decisions[i], d)
			if d.Verdict != Send {
				return
			}
			target := vm.targets[d.Target.ID]
			target.inFlight--
			w := vm.work.of(workload{service: "s", route: "r"}, costObjective)
			fill := min(1, (target.occupancy(now)+1)/target.slots())
			usual := float64(w.request)*(1+nearFullSlowdown*fill*fill) + float64(w.queued)*target.queueLength(now)
			expected := time.Duration(usual * target.slowdown(now) * target.paceOrUsual(now))
			target.inFlight++
			// The compiler may fuse operations differently.
			if (d.ExpectedLatency - expected).Abs() > time.Microsecond {
				t.Fatalf("expected latency %v, it was %v", d.ExpectedLatency, expected)
			}
		}
		s.run(l)
		for _, vm := range s.vms {
			is.Equal(vm.costs.Len(), 0)
			for _, target := range vm.targets {
				is.Equal(len(target.remaining.attempts), 0)
			}
		}
	}
	is.Equal(len(decisions[0]), len(load))
	for i := range decisions[0] {
		is.Equal(decisions[0][i], decisions[1][i])
		is.Equal(decisions[0][i].Attempt, uint64(0))
	}
}
