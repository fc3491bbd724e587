package mesh

import (
	"context"
	"fmt"
	"math"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/loadview"
	"celeryhook.example/celeryhook/internal/mesh/meshpb"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/quarantine"
	"celeryhook.example/celeryhook/internal/ring"
	"celeryhook.example/celeryhook/internal/roster"
)

var testLeader = ownership.Leader{VM: "v0", Incarnation: 1_780_000_000_123}

func testObservation(id core.Target) loadview.Observation {
	return loadview.Observation{
		Process: loadview.Process{Target: id, StartedAt: 1_780_000_000_000}, Slots: 4, Demand: 3, Sent: 2, TurnedAway: 1, Samples: 1,
		ServiceTime: 160 * time.Millisecond, Limit: 8, Load: &loadview.Load{Running: 4, Waiting: 2, Slowdown: 1.5, Age: 90 * time.Millisecond},
	}
}

func testEntry(id core.Target) loadview.Entry {
	return loadview.Entry{
		Process: loadview.Process{Target: id, StartedAt: 1_780_000_000_000}, Slots: 4, ServiceTime: 160 * time.Millisecond,
		Load: &loadview.Load{Running: 4, Waiting: 2, Slowdown: 1.5, Age: 90 * time.Millisecond}, Demand: 40, TurnedAway: 2, Admit: 0.5,
	}
}

// Guards against observations and digests that are lost or changed between two VMs, and
// against a partial report that replaces a VM's load report or asks for evidence.
func TestObservationsBetweenVMs(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	assigner := ring.New[ownership.Message]("assigner", 4, ring.Block)
	suspects := ring.New[quarantine.Message]("quarantine", 4, ring.Block)
	views := ring.New[loadview.Message]("loadview", 4, ring.Block)
	s := NewServer(duty.NewClock(), nil, assigner, nil, suspects, nil).WithLoadView(views)
	server := httptest.NewServer(meshpb.NewMeshServer(s))
	defer server.Close()
	to := roster.Member{VM: "v0", Address: strings.TrimPrefix(server.URL, "http://")}
	sent := loadview.Report{
		VM: "v1", Incarnation: 9, Leader: testLeader, Have: 7, Interval: 250 * time.Millisecond,
		Observations: []loadview.Observation{testObservation("t"), {Process: loadview.Process{Target: "u"}, Slots: 6, Demand: 1}},
	}
	digest := loadview.Digest{
		Leader: testLeader, Sequence: 12, Full: true, Admitting: 1,
		Entries: []loadview.Entry{testEntry("t"), {Process: loadview.Process{Target: "u"}, Removed: true}},
	}
	received := make(chan loadview.Report, 1)
	answer := func() {
		r := (<-views.C()).(loadview.Report)
		r.Reply <- digest
		r.Reply = nil
		received <- r
	}
	go answer()
	c := NewClient(duty.NewClock())
	got, err := c.Observe(ctx, to, "v1", sent, []core.Target{"x"})
	is.NoErr(err)
	is.Equal(<-received, sent)
	is.Equal(*got, digest)
	load := (<-assigner.C()).(ownership.LoadReport)
	is.True(load.Partial)
	is.Equal(load.Unreachable, []core.Target{"x"})
	is.Equal(suspects.Len(), 0)

	go answer()
	go func() { (<-suspects.C()).(quarantine.Compare).Reply <- quarantine.CompareReply{Different: true} }()
	reply, got, err := c.ReportWithObservations(ctx, to, ownership.LoadReport{VM: "v1"}, nil, 9, &sent)
	is.NoErr(err)
	is.Equal(<-received, sent)
	is.Equal(*got, digest)
	is.True(reply.Different)
}

// Guards against a report without load control that differs from the former message.
func TestReportWithoutLoadControlIsUnchanged(t *testing.T) {
	is := is.New(t)
	b, err := proto.Marshal(&meshpb.LoadReport{Vm: "v1", Compare: true, Observations: observationsToPB(nil)})
	is.NoErr(err)
	former, err := proto.Marshal(&meshpb.LoadReport{Vm: "v1", Compare: true})
	is.NoErr(err)
	is.Equal(b, former)
	is.Equal(digestFromPB(nil), nil)
}

// Guards against times that overflow when a faulty VM reports them.
func TestServiceTimeFromFaultyVM(t *testing.T) {
	is := is.New(t)
	for _, ms := range []float32{float32(math.NaN()), float32(math.Inf(1)), float32(math.Inf(-1)), -1, 1e30} {
		is.Equal(serviceTimeFromPB(ms), time.Duration(0))
	}
	is.Equal(serviceTimeFromPB(2.5), 2500*time.Microsecond)
}

// TestExchangeSizes prints the sizes from which docs/design/load-exchange.md computes
// the traffic. It guards against entries that grow without a change of that page.
func TestExchangeSizes(t *testing.T) {
	is := is.New(t)
	size := func(m proto.Message) float64 {
		b, err := proto.Marshal(m)
		is.NoErr(err)
		return float64(len(b))
	}
	const n = 100
	var observations []loadview.Observation
	var light, full []loadview.Entry
	for i := range n {
		id := core.Target(fmt.Sprintf("target-%05d", i))
		o := testObservation(id)
		o.Limit, o.TurnedAway = 0, 0
		observations = append(observations, o)
		e := testEntry(id)
		full = append(full, e)
		e.Admit, e.TurnedAway = 0, 0
		light = append(light, e)
	}
	report := func(list []loadview.Observation) float64 {
		return size(&meshpb.LoadReport{Vm: "vm-00001", Partial: true, Observations: observationsToPB(&loadview.Report{
			Incarnation: testLeader.Incarnation, Leader: testLeader, Have: 100_000, Interval: 250 * time.Millisecond, Observations: list,
		})})
	}
	reply := func(list []loadview.Entry) float64 {
		return size(&meshpb.ReportReply{Digest: digestToPB(loadview.Digest{Leader: testLeader, Sequence: 100_000, Admitting: 2, Entries: list})})
	}
	perObservation := (report(observations) - report(nil)) / n
	perEntry, perAdmitted := (reply(light)-reply(nil))/n, (reply(full)-reply(nil))/n
	t.Logf("report: %.0f bytes and %.1f per target; digest: %.0f bytes and %.1f per target, %.1f under admission",
		report(nil), perObservation, reply(nil), perEntry, perAdmitted)
	is.True(report(nil) <= 60)
	is.True(perObservation <= 64)
	is.True(reply(nil) <= 40)
	is.True(perEntry <= 64)
	is.True(perAdmitted <= 72)
}
