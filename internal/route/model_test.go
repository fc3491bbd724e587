package route_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/eventqueue"
)

// The model is a discrete-event simulation of one service on a virtual clock:
// callers, entry VMs and targets with slots. Every system under test gets the
// same arrivals. Times that the deployments do not state are assumptions, listed
// in docs/MEASUREMENTS.md.
const (
	meanServiceTime  = 8 * time.Millisecond
	serviceTimeSigma = 0.5 // of the log-normal distribution
	localHop         = 200 * time.Microsecond
	timeout          = time.Second
	warmUp           = 6 * time.Second
	stragglerStart   = 10 * time.Second
	stragglerEnd     = 20 * time.Second
	stragglerFactor  = 8
	coldStartAt      = 22 * time.Second
	// A cold target can run one request at a time; the number doubles after every
	// warmStep responses.
	warmStep    = 8
	arrivalsEnd = 30 * time.Second
	numKeys     = 100_000
	keySkew     = 1.02 // of the Zipf distribution; the hottest key has about 9%
)

// deployment is one service of a deployment.
type deployment struct {
	service core.Service
	// sharded is set if requests have keys.
	sharded bool
	targets int
	slots   int
	// connections is the maximum number of running and queued requests that a
	// target without a front accepts.
	connections int
	domains     []core.FailureDomain
	vms         int
	hop         time.Duration // between failure domains
	load        float64       // offered load as a share of all slots
}

// arrival is a caller's request that reaches an entry VM.
type arrival struct {
	entry    int
	request  core.Request
	at       core.Instant
	finished bool
}

// system is a system under test. It calls model.finish for each arrival.
type system interface {
	start()
	arrive(a *arrival)
}

// server is a simulated target.
type server struct {
	id          core.Target
	domain      core.FailureDomain
	running     int
	peak        int
	waiting     []func()
	cold        bool
	responses   int
	incarnation uint64
	busy        time.Duration
	slow        bool
	// overCold is the number of requests that started above the limit of a cold
	// target.
	overCold int
}

type model struct {
	deployment deployment
	now        core.Instant
	events     eventqueue.Queue
	random     *rand.Rand
	servers    []*server
	latency    *hdrhistogram.Histogram
	arrivals   int
	rejected   int
	unknown    int
	byClass    [core.NumClasses]struct{ arrivals, failed int }
	system     system
	// cumulativeWeights are the cumulative Zipf weights of the keys.
	cumulativeWeights []float64
	// initialImbalance is the imbalance before the straggler slows down.
	initialImbalance float64
}

func newModel(d deployment, seed uint64, build func(*model) system) *model {
	m := &model{deployment: d, random: rand.New(rand.NewPCG(seed, 1)), latency: hdrhistogram.New(1, 10_000_000, 3)}
	for i := range d.targets {
		m.servers = append(m.servers, &server{
			id: core.Target(fmt.Sprintf("%s-%02d", d.service, i)), domain: d.domains[i%len(d.domains)], incarnation: 1,
		})
	}
	sum := 0.0
	for k := range numKeys {
		sum += math.Pow(float64(k+1), -keySkew)
		m.cumulativeWeights = append(m.cumulativeWeights, sum)
	}
	m.system = build(m)
	return m
}

func (m *model) after(d time.Duration, run func()) {
	m.events.Add(m.now.Add(d), run)
}

func (m *model) run() {
	m.system.start()
	m.after(warmUp, m.nextArrival)
	m.after(stragglerStart, func() {
		m.initialImbalance = m.imbalance()
		m.servers[0].slow = true
	})
	m.after(stragglerEnd, func() { m.servers[0].slow = false })
	m.after(coldStartAt, func() {
		m.servers[1].cold, m.servers[1].responses = true, 0
		m.servers[1].incarnation++
	})
	end := core.Instant(arrivalsEnd + 2*timeout)
	for e, ok := m.events.Next(end); ok; e, ok = m.events.Next(end) {
		m.now = e.At
		e.Run()
	}
}

func (m *model) nextArrival() {
	if m.now >= core.Instant(arrivalsEnd) {
		return
	}
	perSecond := m.deployment.load * float64(m.deployment.targets*m.deployment.slots) / meanServiceTime.Seconds()
	m.after(time.Duration(m.random.ExpFloat64()/perSecond*float64(time.Second)), m.nextArrival)
	a := &arrival{entry: m.random.IntN(m.deployment.vms), at: m.now, request: core.Request{
		ID: m.newID(), Service: m.deployment.service, Class: core.ClassLookup, Idempotent: true,
		Caller: fmt.Sprintf("caller-%d", m.random.IntN(50)), Deadline: m.now.Add(timeout), Digest: 1,
	}}
	switch p := m.random.Float64(); {
	case p < 0.02:
		a.request.Class, a.request.Idempotent = core.ClassPayment, false
	case p < 0.10:
		a.request.Class, a.request.Idempotent = core.ClassBooking, false
	}
	if m.deployment.sharded {
		a.request.KeyHash = core.HashKey(fmt.Sprint(m.key()))
	}
	m.arrivals++
	m.byClass[a.request.Class].arrivals++
	m.system.arrive(a)
}

// key draws a key from a Zipf distribution.
func (m *model) key() int {
	x := m.random.Float64() * m.cumulativeWeights[len(m.cumulativeWeights)-1]
	lo, hi := 0, len(m.cumulativeWeights)-1
	for lo < hi {
		if mid := (lo + hi) / 2; m.cumulativeWeights[mid] < x {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

// newID returns a UUIDv7 for the current virtual time.
func (m *model) newID() core.RequestID {
	ms := time.Duration(m.now).Milliseconds()
	hi, lo := m.random.Uint64(), m.random.Uint64()
	return core.RequestID(fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x",
		ms>>16&0xffffffff, ms&0xffff, hi&0xfff, hi>>12&0xfff, lo&0xffffffffffff))
}

// finish records the outcome of an arrival. Only the first call has an effect.
func (m *model) finish(a *arrival, o core.Outcome) {
	if a.finished {
		return
	}
	a.finished = true
	switch {
	case o == core.OutcomeAnswered:
		_ = m.latency.RecordValue(m.now.Sub(a.at).Microseconds())
	case o.NotRun():
		m.rejected++
		m.byClass[a.request.Class].failed++
	default:
		m.unknown++
		m.byClass[a.request.Class].failed++
	}
}

// serve runs a request in a slot of a target and calls done when it ends.
func (m *model) serve(s *server, done func()) {
	s.running++
	s.peak = max(s.peak, s.running)
	d := time.Duration(float64(meanServiceTime) * math.Exp(serviceTimeSigma*m.random.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2))
	if s.slow {
		d *= stragglerFactor
	}
	if over := s.running - m.usableSlots(s); over > 0 {
		s.overCold++
		// Excess concurrency slows a cold target down.
		d *= time.Duration(1 + over)
	}
	s.busy += d
	m.after(d, func() {
		s.running--
		s.responses++
		done()
		if len(s.waiting) > 0 && s.running < m.deployment.slots {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			next()
		}
	})
}

// usableSlots is how many requests a target can run at a time without slowing
// down.
func (m *model) usableSlots(s *server) int {
	if !s.cold {
		return m.deployment.slots
	}
	return min(m.deployment.slots, 1<<min(s.responses/warmStep, 8))
}

// imbalance is the ratio of the busiest target's load to the mean.
func (m *model) imbalance() float64 {
	var most, sum time.Duration
	for _, s := range m.servers {
		most = max(most, s.busy)
		sum += s.busy
	}
	return float64(most) * float64(len(m.servers)) / float64(sum)
}

func (m *model) domainOf(entry int) core.FailureDomain {
	return m.deployment.domains[entry%len(m.deployment.domains)]
}

// hopTime is the network latency from an entry VM to a failure domain.
func (m *model) hopTime(entry int, d core.FailureDomain) time.Duration {
	if m.domainOf(entry) == d {
		return localHop
	}
	return m.deployment.hop
}
