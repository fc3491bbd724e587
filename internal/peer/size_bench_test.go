package peer

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/membership"
)

func newMap(targets, ranges int) *core.RangeMap {
	m := &core.RangeMap{
		FailureDomain: "ba-petrzalka",
		Version:       core.Token{Term: 4711, Seq: 815},
		Holder:        "ba-petrzalka-vm1",
		Targets:       make(map[core.Target]core.TargetAssignment, targets),
		Ranges:        make(map[core.RangeID]core.RangeAssignment, ranges),
	}
	for i := range targets {
		m.Targets[core.Target(fmt.Sprintf("rozvrh-%05d", i))] = core.TargetAssignment{
			Front: core.VM(fmt.Sprint("ba-petrzalka-vm", i%12)), Witnesses: []core.VM{core.VM(fmt.Sprint("ba-petrzalka-vm", (i+1)%12))},
			Token: m.Version, Incarnation: 1796371969116765532,
		}
	}
	for i := range ranges {
		m.Ranges[core.RangeID{Service: "rozvrh", Number: uint32(i)}] = core.RangeAssignment{
			Target: core.Target(fmt.Sprintf("rozvrh-%05d", i%max(targets, 1))),
		}
	}
	return m
}

// BenchmarkMapSize measures the size of a range map on the wire and in memory,
// and the time to decode it; docs/CAPACITY.md uses the increase per entry.
func BenchmarkMapSize(b *testing.B) {
	for _, s := range [][2]int{{0, 10000}, {1000, 0}, {1000, 10000}} {
		b.Run(fmt.Sprintf("targets=%d/ranges=%d", s[0], s[1]), func(b *testing.B) {
			data, err := proto.Marshal(mapToPB(newMap(s[0], s[1])))
			if err != nil {
				b.Fatal(err)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			kept := decodeMap(b, data)
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(kept)
			for b.Loop() {
				decodeMap(b, data)
			}
			b.ReportMetric(float64(len(data)), "wire-B")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
		})
	}
}

func decodeMap(b *testing.B, data []byte) *core.RangeMap {
	b.Helper()
	pb := mapToPB(&core.RangeMap{})
	if err := proto.Unmarshal(data, pb); err != nil {
		b.Fatal(err)
	}
	return mapFromPB(pb)
}

// BenchmarkHeartbeatSize measures the size of a heartbeat by the number of map
// versions it carries.
func BenchmarkHeartbeatSize(b *testing.B) {
	for _, domains := range []int{1, 3, 24} {
		b.Run(fmt.Sprint("maps=", domains), func(b *testing.B) {
			info := membership.Info{
				VM: "ba-petrzalka-vm1", FailureDomain: "ba-petrzalka", Address: "10.20.30.40:7070",
				Incarnation: 1796371969116765532, Capacity: 4, LogOffset: 123456, Maps: make(map[core.FailureDomain]core.Token),
			}
			for i := range domains {
				info.Maps[core.FailureDomain(fmt.Sprint("failure-domain-", i))] = core.Token{Term: 123456, Seq: 815}
			}
			size := 0
			for b.Loop() {
				data, err := proto.Marshal(infoToPB(info))
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "wire-B")
		})
	}
}
