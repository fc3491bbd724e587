package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/loadview"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/routing"
)

// simulatedTarget is a target on the virtual clock: slots that serve a queue.
type simulatedTarget struct {
	slots, queue int
	service      time.Duration
	// freeAt is when each slot becomes free, and waiting the starts of the requests
	// that wait.
	freeAt []core.Instant
	starts []core.Instant
}

// accept returns when the request ends, or false if the queue is full.
func (s *simulatedTarget) accept(now core.Instant) (core.Instant, bool) {
	running, waiting := s.load(now)
	if running+waiting >= s.slots+s.queue {
		return 0, false
	}
	first := 0
	for i := range s.freeAt {
		if s.freeAt[i] < s.freeAt[first] {
			first = i
		}
	}
	begin := max(now, s.freeAt[first])
	s.freeAt[first] = begin.Add(s.service)
	s.starts = append(s.starts, begin)
	return s.freeAt[first], true
}

func (s *simulatedTarget) load(now core.Instant) (running, waiting int) {
	kept := s.starts[:0]
	for _, at := range s.starts {
		switch {
		case at.After(now):
			waiting++
			kept = append(kept, at)
		case at.Add(s.service).After(now):
			running++
			kept = append(kept, at)
		}
	}
	s.starts = kept
	return running, waiting
}

// exchangeFleet is a fleet that wants one key, with the aggregator of its leader.
type exchangeFleet struct {
	vms        []*Balancer
	aggregator *loadview.Aggregator
	leader     ownership.Leader
	target     *simulatedTarget
	random     *rand.Rand
	// demand is the requests per second of each VM, and silent the VMs that have
	// disappeared.
	demand []float64
	silent []bool
	// leaderGone is set while no VM receives reports.
	leaderGone bool
	limit      float64
	events     map[int][]func(core.Instant)
	step       int
	sent       [][]core.Instant
	served     []core.Instant
	rejected   map[string]int
}

func newExchangeFleet(seed uint64, demand []float64, limit float64) *exchangeFleet {
	f := &exchangeFleet{
		leader: ownership.Leader{VM: "v0", Incarnation: 5}, random: rand.New(rand.NewPCG(seed, 11)), demand: demand, limit: limit,
		silent: make([]bool, len(demand)), sent: make([][]core.Instant, len(demand)),
		events: make(map[int][]func(core.Instant)), rejected: make(map[string]int),
	}
	f.target = &simulatedTarget{slots: 4, queue: 16, service: time.Second / 6, freeAt: make([]core.Instant, 4)}
	f.vms = setup{
		members: len(demand), targets: []discovery.Target{warmTarget("a")},
		service: routing.Service{Sharded: true, LoadControl: true, MaxConnections: 410, Objective: 500 * time.Millisecond},
		limits:  RetryLimits{Ratio: 0.2, Extra: 156},
	}.fleet()
	f.lead(f.leader)
	return f
}

// lead makes a process the leader, as recorded in the ledger.
func (f *exchangeFleet) lead(l ownership.Leader) {
	f.leader = l
	f.aggregator = loadview.NewAggregator(l)
	f.aggregator.Step(f.now(), loadview.LeaderChanged{Leader: l})
	owners := ownedBy("a")
	owners.Leader = l
	for _, b := range f.vms {
		b.Step(f.now(), OwnersChanged{View: owners})
	}
}

const exchangeStep = time.Millisecond

func (f *exchangeFleet) now() core.Instant {
	return start.Add(time.Duration(f.step) * exchangeStep)
}

func (f *exchangeFleet) at(t core.Instant, do func(core.Instant)) {
	step := max(f.step+1, int((t.Sub(start)+exchangeStep-1)/exchangeStep))
	f.events[step] = append(f.events[step], do)
}

// run advances the clock. Requests arrive at random times.
func (f *exchangeFleet) run(d time.Duration) {
	interval := int(loadview.ReportInterval(len(f.vms)) / exchangeStep)
	for end := f.step + int(d/exchangeStep); f.step < end; f.step++ {
		now := f.now()
		for _, do := range f.events[f.step] {
			do(now)
		}
		delete(f.events, f.step)
		if !f.leaderGone && f.step%100 == 0 {
			f.aggregator.Step(now, loadview.Tick{})
		}
		for i, b := range f.vms {
			if f.silent[i] {
				continue
			}
			if f.random.Float64() < f.demand[i]*exchangeStep.Seconds() {
				f.request(now, i, b)
			}
			if (f.step+i*7919)%interval == 0 {
				f.report(now, i, b)
			}
		}
	}
}

func (f *exchangeFleet) request(now core.Instant, i int, b *Balancer) {
	d := selectTarget(b, now, func(s *SelectTarget) {
		s.Objective, s.Deadline, s.Priority = 500*time.Millisecond, now.Add(1500*time.Millisecond), 0
	})
	if d.Verdict != Send {
		f.rejected[d.Reason]++
		return
	}
	f.sent[i] = append(f.sent[i], now)
	endsAt, ok := f.target.accept(now)
	done := AttemptDone{Service: "s", Objective: 500 * time.Millisecond, Target: "a", Result: Shed, Announced: &Announcement{RateLimit: f.limit}}
	if !ok {
		endsAt = now.Add(2 * time.Millisecond)
	} else {
		done.Result, done.Elapsed = Succeeded, endsAt.Sub(now)
	}
	f.at(endsAt, func(now core.Instant) {
		running, waiting := f.target.load(now)
		done.Load = &TargetLoad{Running: running, Waiting: waiting, Slots: f.target.slots, Slowdown: 1}
		if ok {
			f.served = append(f.served, now)
		}
		b.Step(now, done)
	})
}

// report exchanges a report for a digest, which arrives a few milliseconds later.
func (f *exchangeFleet) report(now core.Instant, i int, b *Balancer) {
	o := observationsOf(b, now)
	if f.leaderGone {
		return
	}
	r := o.Report
	r.VM, r.Incarnation, r.Reply = core.VM(fmt.Sprint("v", i)), 1, make(chan<- loadview.Digest, 1)
	for _, out := range f.aggregator.Step(now, r) {
		if reply, ok := out.(loadview.SendReply); ok {
			f.at(now.Add(4*time.Millisecond), func(later core.Instant) {
				b.Step(later, DigestChanged{Digest: reply.Digest, AsOf: now})
			})
		}
	}
}

func observationsOf(b *Balancer, now core.Instant) Observations {
	return b.Step(now, ObservationsRequest{})[0].(ObservationsReply).Observations
}

// count returns how many times are in [from, from+d) after the start.
func count(times []core.Instant, from, d time.Duration) int {
	n := 0
	for _, at := range times {
		if age := at.Sub(start); age >= from && age < from+d {
			n++
		}
	}
	return n
}

func (f *exchangeFleet) sentIn(from, d time.Duration) int {
	n := 0
	for _, times := range f.sent {
		n += count(times, from, d)
	}
	return n
}

func (f *exchangeFleet) admitted(i int) bool {
	return f.vms[i].targets["a"].digested.admission.perSecond > 0 && f.vms[i].targets["a"].digested.weight(f.now()) > 0
}

const hotCapacity = 24

// hotDemand returns a demand of 400 requests per second over the VMs.
func hotDemand(vms int) []float64 { return demandOf(vms, 400) }

// demandOf returns a demand over the VMs, of which each third wants one, two and three
// parts.
func demandOf(vms int, perSecond float64) []float64 {
	out := make([]float64, vms)
	var parts float64
	for i := range out {
		out[i] = float64(1 + i%3)
		parts += out[i]
	}
	for i := range out {
		out[i] *= perSecond / parts
	}
	return out
}

// Guards against VMs that together send a saturated target far more than it can
// serve, so that its queue makes all responses late, against capacity that is left
// unused, and against callers that get nothing because of the VM that they reached.
func TestHotKeyIsDividedAmongVMs(t *testing.T) {
	for _, vms := range []int{9, 58, 95} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("vms=%d,seed=%d", vms, seed), func(t *testing.T) {
				is := is.New(t)
				f := newExchangeFleet(seed, hotDemand(vms), 0)
				const seconds = 60
				f.run(seconds * time.Second)
				// Requests of independent VMs vary in one second by about the root of
				// their mean. The runs have 531 of these windows, so that chance alone
				// would exceed three times that in about every second run of the test.
				inOneSecond := hotCapacity + int(4*math.Sqrt(hotCapacity))
				for s := 1; s < seconds; s++ {
					if n := f.sentIn(time.Duration(s)*time.Second, time.Second); n > inOneSecond {
						t.Errorf("%d requests sent in second %d", n, s)
					}
					if n := f.sentIn(time.Duration(s)*time.Second, 5*time.Second); n > hotCapacity*5*6/5 {
						t.Errorf("%d requests sent in 5 s after second %d", n, s)
					}
				}
				served := count(f.served, time.Second, (seconds-1)*time.Second)
				sent := f.sentIn(time.Second, (seconds-1)*time.Second)
				t.Logf("sent %d, served %d of %d, rejected %v", sent, served, hotCapacity*(seconds-1), f.rejected)
				is.True(served >= hotCapacity*(seconds-1)*9/10)
				is.True(sent <= hotCapacity*(seconds-1)*51/50)
				f.checkShares(t, 5*time.Second, (seconds-5)*time.Second)
			})
		}
	}
}

// checkShares checks that the VMs sent in proportion to their demand.
func (f *exchangeFleet) checkShares(t *testing.T, from, d time.Duration) {
	t.Helper()
	var total float64
	var perPart [3]float64
	for i, times := range f.sent {
		total += f.demand[i]
		perPart[i%3] += float64(count(times, from, d)) / f.demand[i]
	}
	mean := float64(f.sentIn(from, d)) / total
	for part := range perPart {
		vms := (len(f.sent) + 2 - part) / 3
		if ratio := perPart[part] / float64(vms) / mean; math.Abs(ratio-1) > 0.15 {
			t.Errorf("VMs with %d parts of the demand sent %.2f times their share", part+1, ratio)
		}
	}
	for i, times := range f.sent {
		expected := mean * f.demand[i]
		if n := float64(count(times, from, d)); math.Abs(n-expected) > 0.5*expected {
			t.Errorf("VM %d sent %.0f requests, %.0f are its share", i, n, expected)
		}
	}
}
