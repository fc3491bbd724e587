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

// The model is a discrete-event run of one service on a virtual clock: callers,
// entry VMs and targets with slots. It measures what a system under test makes
// of the same arrivals. Times that the deployments don't state are assumptions,
// listed in docs/MEASUREMENTS.md.
const (
	meanService  = 8 * time.Millisecond
	sigmaService = 0.5 // of the log-normal distribution
	insideHop    = 200 * time.Microsecond
	timeout      = time.Second
	warmUp       = 6 * time.Second
	slowFrom     = 10 * time.Second
	slowTo       = 20 * time.Second
	slowFactor   = 8
	coldAt       = 22 * time.Second
	// A cold target can run one request at a time, twice as many after each
	// warmStep responses.
	warmStep = 8
	runFor   = 30 * time.Second
	numKeys  = 100_000
	keySkew  = 1.02 // of the Zipf distribution; the hottest key has about 9%
)

// deployment is one service of a deployment.
type deployment struct {
	service core.Service
	divided bool
	targets int
	slots   int
	// connections bounds what a target takes without a front: running and waiting.
	connections int
	domains     []core.FailureDomain
	vms         int
	hop         time.Duration // between failure domains
	load        float64       // share of all slots
}

// arrival is a caller's request as it reaches an entry VM.
type arrival struct {
	entry    int
	request  core.Request
	at       core.Instant
	finished bool
}

// system is what is measured. It calls model.finish once for each arrival.
type system interface {
	start()
	arrive(a *arrival)
}

// server is a modelled target.
type server struct {
	id          core.Target
	domain      core.FailureDomain
	running     int
	most        int
	waiting     []func()
	cold        bool
	responses   int
	incarnation uint64
	busy        time.Duration
	slow        bool
	// overCold counts the requests that began above the cold limit.
	overCold int
}

type model struct {
	d         deployment
	now       core.Instant
	events    eventqueue.Queue
	random    *rand.Rand
	servers   []*server
	latency   *hdrhistogram.Histogram
	arrivals  int
	refused   int
	late      int
	byClass   [core.NumClasses]struct{ arrivals, failed int }
	system    system
	cumulated []float64
	// calm is the imbalance before the straggler.
	calm float64
}

func newModel(d deployment, seed uint64, build func(*model) system) *model {
	m := &model{d: d, random: rand.New(rand.NewPCG(seed, 1)), latency: hdrhistogram.New(1, 10_000_000, 3)}
	for i := range d.targets {
		m.servers = append(m.servers, &server{
			id: core.Target(fmt.Sprintf("%s-%02d", d.service, i)), domain: d.domains[i%len(d.domains)], incarnation: 1,
		})
	}
	sum := 0.0
	for k := range numKeys {
		sum += math.Pow(float64(k+1), -keySkew)
		m.cumulated = append(m.cumulated, sum)
	}
	m.system = build(m)
	return m
}

func (m *model) after(d time.Duration, do func()) {
	m.events.Add(m.now.Add(d), do)
}

func (m *model) run() {
	m.system.start()
	m.after(warmUp, m.nextArrival)
	m.after(slowFrom, func() {
		m.calm = m.imbalance()
		m.servers[0].slow = true
	})
	m.after(slowTo, func() { m.servers[0].slow = false })
	m.after(coldAt, func() {
		m.servers[1].cold, m.servers[1].responses = true, 0
		m.servers[1].incarnation++
	})
	end := core.Instant(runFor + 2*timeout)
	for e, ok := m.events.Next(end); ok; e, ok = m.events.Next(end) {
		m.now = e.At
		e.Run()
	}
}

func (m *model) nextArrival() {
	if m.now >= core.Instant(runFor) {
		return
	}
	perSecond := m.d.load * float64(m.d.targets*m.d.slots) / meanService.Seconds()
	m.after(time.Duration(m.random.ExpFloat64()/perSecond*float64(time.Second)), m.nextArrival)
	a := &arrival{entry: m.random.IntN(m.d.vms), at: m.now, request: core.Request{
		ID: m.newID(), Service: m.d.service, Class: core.ClassLookup, Idempotent: true,
		Caller: fmt.Sprintf("caller-%d", m.random.IntN(50)), Deadline: m.now.Add(timeout), Digest: 1,
	}}
	switch p := m.random.Float64(); {
	case p < 0.02:
		a.request.Class, a.request.Idempotent = core.ClassPayment, false
	case p < 0.10:
		a.request.Class, a.request.Idempotent = core.ClassBooking, false
	}
	if m.d.divided {
		a.request.KeyHash = core.HashKey(fmt.Sprint(m.key()))
	}
	m.arrivals++
	m.byClass[a.request.Class].arrivals++
	m.system.arrive(a)
}

// key draws a key by a Zipf distribution.
func (m *model) key() int {
	x := m.random.Float64() * m.cumulated[len(m.cumulated)-1]
	lo, hi := 0, len(m.cumulated)-1
	for lo < hi {
		if mid := (lo + hi) / 2; m.cumulated[mid] < x {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

// newID returns a UUIDv7 of the present virtual time.
func (m *model) newID() core.RequestID {
	ms := time.Duration(m.now).Milliseconds()
	hi, lo := m.random.Uint64(), m.random.Uint64()
	return core.RequestID(fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x",
		ms>>16&0xffffffff, ms&0xffff, hi&0xfff, hi>>12&0xfff, lo&0xffffffffffff))
}

// finish records what became of an arrival; the first call counts.
func (m *model) finish(a *arrival, o core.Outcome) {
	if a.finished {
		return
	}
	a.finished = true
	switch {
	case o == core.OutcomeAnswered:
		_ = m.latency.RecordValue(m.now.Sub(a.at).Microseconds())
	case o.NotRun():
		m.refused++
		m.byClass[a.request.Class].failed++
	default:
		m.late++
		m.byClass[a.request.Class].failed++
	}
}

// serve runs a request in a slot of a target; done is called at its end.
func (m *model) serve(s *server, done func()) {
	s.running++
	s.most = max(s.most, s.running)
	d := time.Duration(float64(meanService) * math.Exp(sigmaService*m.random.NormFloat64()-sigmaService*sigmaService/2))
	if s.slow {
		d *= slowFactor
	}
	if over := s.running - m.warmSlots(s); over > 0 {
		s.overCold++
		// Too much work at once slows a cold target down.
		d *= time.Duration(1 + over)
	}
	s.busy += d
	m.after(d, func() {
		s.running--
		s.responses++
		done()
		if len(s.waiting) > 0 && s.running < m.d.slots {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			next()
		}
	})
}

// warmSlots is how many requests a target can run at a time.
func (m *model) warmSlots(s *server) int {
	if !s.cold {
		return m.d.slots
	}
	return min(m.d.slots, 1<<min(s.responses/warmStep, 8))
}

// imbalance is the load of the busiest target over the mean.
func (m *model) imbalance() float64 {
	var most, sum time.Duration
	for _, s := range m.servers {
		most = max(most, s.busy)
		sum += s.busy
	}
	return float64(most) * float64(len(m.servers)) / float64(sum)
}

func (m *model) domainOf(entry int) core.FailureDomain { return m.d.domains[entry%len(m.d.domains)] }

// hopTo is the time from an entry VM's failure domain to another.
func (m *model) hopTo(entry int, d core.FailureDomain) time.Duration {
	if m.domainOf(entry) == d {
		return insideHop
	}
	return m.d.hop
}
