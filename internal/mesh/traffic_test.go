package mesh

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/loadview"
	"celeryhook.example/celeryhook/internal/mesh/meshpb"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/ring"
	"celeryhook.example/celeryhook/internal/roster"
)

// trafficModel is the exchange of a deployment on the virtual clock: requests at random
// times, targets whose load varies at random, and bursts in which a target is slow.
type trafficModel struct {
	vms, targets int
	perSecond    float64
	random       *rand.Rand
	now          core.Instant
	aggregator   *loadview.Aggregator
	have         []uint64
	pending      []map[int]*loadview.Observation
	slowUntil    []core.Instant
	reports      int
	sent         int
	received     int
	entries      int
}

func newTrafficModel(vms int) *trafficModel {
	// The ratios of a deployment: 58 VMs, 165 targets, 1,548 requests per second.
	m := &trafficModel{
		vms: vms, targets: vms * 165 / 58, perSecond: float64(vms) * 1548 / 58, random: rand.New(rand.NewPCG(uint64(vms), 1)),
		now: core.Instant(time.Hour), aggregator: loadview.NewAggregator(testLeader), have: make([]uint64, vms),
	}
	m.aggregator.Step(m.now, loadview.LeaderChanged{Leader: testLeader})
	for range vms {
		m.pending = append(m.pending, make(map[int]*loadview.Observation))
	}
	m.slowUntil = make([]core.Instant, m.targets)
	return m
}

// request ends one request at a random target, from a random VM.
func (m *trafficModel) request() {
	vm, target := m.random.IntN(m.vms), m.random.IntN(m.targets)
	if m.random.Float64() < 0.05 { // bursts of 400 ms, about a fifth of the time
		m.slowUntil[target] = m.now.Add(400 * time.Millisecond)
	}
	slowdown := 1.0
	if m.now.Before(m.slowUntil[target]) {
		slowdown = 3
	}
	o := m.pending[vm][target]
	if o == nil {
		o = &loadview.Observation{Process: loadview.Process{Target: core.Target(fmt.Sprintf("target-%05d", target)), StartedAt: 1_780_000_000_000}, Slots: 4}
		m.pending[vm][target] = o
	}
	took := 160 * time.Millisecond.Seconds() * slowdown * math.Exp(0.7*m.random.NormFloat64()-0.245)
	o.ServiceTime = (o.ServiceTime*time.Duration(o.Samples) + time.Duration(took*float64(time.Second))) / time.Duration(o.Samples+1)
	o.Demand, o.Sent, o.Samples = o.Demand+1, o.Sent+1, o.Samples+1
	waiting := m.random.IntN(1 + 2*int(slowdown))
	o.Load = &loadview.Load{Running: 1 + m.random.IntN(4), Waiting: max(0, waiting-1), Slowdown: slowdown, Age: 100 * time.Millisecond}
}

func (m *trafficModel) report(t *testing.T, vm int) {
	reply := make(chan loadview.Digest, 1)
	r := loadview.Report{
		VM: core.VM(fmt.Sprintf("vm-%05d", vm)), Incarnation: testLeader.Incarnation, Leader: testLeader, Have: m.have[vm],
		Interval: loadview.ReportInterval(m.vms), Reply: reply,
	}
	for _, o := range m.pending[vm] {
		r.Observations = append(r.Observations, *o)
	}
	clear(m.pending[vm])
	for _, o := range m.aggregator.Step(m.now, r) {
		if s, ok := o.(loadview.SendReply); ok {
			b, err := proto.Marshal(&meshpb.ReportReply{Digest: digestToPB(s.Digest)})
			is.New(t).NoErr(err)
			m.received += len(b)
			m.entries += len(s.Digest.Entries)
			m.have[vm] = s.Digest.Sequence
		}
	}
	b, err := proto.Marshal(&meshpb.LoadReport{Vm: string(r.VM), Partial: true, Observations: observationsToPB(&r)})
	is.New(t).NoErr(err)
	m.sent += len(b)
	m.reports++
}

func (m *trafficModel) run(t *testing.T, d time.Duration) {
	interval := loadview.ReportInterval(m.vms)
	steps := int(interval / (5 * time.Millisecond))
	due := 0.0
	for step := range int(d / (5 * time.Millisecond)) {
		m.now = m.now.Add(5 * time.Millisecond)
		for due += m.perSecond * 0.005; due >= 1; due-- {
			m.request()
		}
		for vm := range m.vms {
			if (step+vm*7919)%steps == 0 {
				m.report(t, vm)
			}
		}
	}
}

// TestExchangeTraffic prints the traffic from which docs/design/load-exchange.md takes
// its figures. It guards against digests that fill the link of a leader.
func TestExchangeTraffic(t *testing.T) {
	for _, vms := range []int{9, 58, 95, 300} {
		m := newTrafficModel(vms)
		m.run(t, 5*time.Second)
		m.reports, m.sent, m.received, m.entries = 0, 0, 0, 0
		const seconds = 5
		m.run(t, seconds*time.Second)
		t.Logf("%d VMs, %d targets: %.0f reports/s of %d bytes, digests of %d bytes and %.1f entries; leader receives %.0f and sends %.0f kB/s",
			vms, m.targets, float64(m.reports)/seconds, m.sent/m.reports, m.received/m.reports, float64(m.entries)/float64(m.reports),
			float64(m.sent)/seconds/1000, float64(m.received)/seconds/1000)
		if vms <= 58 && m.received/seconds > 600_000 {
			t.Errorf("%d VMs: the leader sends %d bytes per second", vms, m.received/seconds)
		}
	}
}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, &l.bytes}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// TestExchangeOverhead prints the bytes of HTTP for a report and its reply.
func TestExchangeOverhead(t *testing.T) {
	is := is.New(t)
	views := ring.New[loadview.Message]("loadview", 4, ring.Block)
	assigner := ring.New[ownership.Message]("assigner", 64, ring.Block)
	s := NewServer(duty.NewClock(), nil, assigner, nil, nil, nil).WithLoadView(views)
	server := httptest.NewUnstartedServer(meshpb.NewMeshServer(s))
	l := &countingListener{Listener: server.Listener}
	server.Listener = l
	server.Start()
	defer server.Close()
	go func() {
		for m := range views.C() {
			m.(loadview.Report).Reply <- loadview.Digest{Leader: testLeader, Sequence: 1}
		}
	}()
	to := roster.Member{VM: "v0", Address: strings.TrimPrefix(server.URL, "http://")}
	c := NewClient(duty.NewClock())
	var before int64
	const calls = 10
	for i := range calls + 1 {
		if i == 1 {
			before = l.bytes.Load()
		}
		_, err := c.Observe(context.Background(), to, "vm-00001", loadview.Report{Leader: testLeader}, nil)
		is.NoErr(err)
	}
	t.Logf("%d bytes for a report without observations and its reply", (l.bytes.Load()-before)/calls)
}
