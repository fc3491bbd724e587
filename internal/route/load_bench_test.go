package route_test

import (
	"fmt"
	"testing"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// deployments are the two deployments of docs/design.md section 1.1.
var deployments = []struct {
	name     string
	services []deployment
}{
	{"bratislava", deploymentOf(
		[]core.FailureDomain{"ba-petrzalka", "ba-ruzinov", "ba-dubravka"}, 10, 6, 100, time.Millisecond,
		deployment{service: "rozvrh", sharded: true, targets: 10},
		deployment{service: "rezervacie", targets: 6},
		deployment{service: "macky", targets: 10},
	)},
	{"great-lakes", deploymentOf(
		[]core.FailureDomain{"duluth", "marquette", "thunder-bay"}, 12, 4, 60, 1500*time.Microsecond,
		deployment{service: "template-lib", targets: 15},
		deployment{service: "bench-desk", targets: 6},
		deployment{service: "class-board", sharded: true, targets: 15},
	)},
}

func deploymentOf(domains []core.FailureDomain, vms, slots, connections int, hop time.Duration, services ...deployment) []deployment {
	for i := range services {
		s := &services[i]
		s.domains, s.vms, s.slots, s.connections, s.hop = domains, vms, slots, connections, hop
	}
	return services
}

var systems = []struct {
	name  string
	build func(*model) system
}{
	{"celeryhook", celeryhook},
	{"least-connections", leastConnections},
	{"round-robin", roundRobin},
}

// loadSeed is the seed of all runs, so that all systems get the same arrivals.
const loadSeed = 20261204

// BenchmarkLoad runs each service of both deployments at 60% of its slots, with
// a straggler and a cold start, and reports latencies, imbalance and rejections:
//
//	go test ./internal/route -run '^$' -bench BenchmarkLoad -benchtime 1x
func BenchmarkLoad(b *testing.B) { benchmarkAt(b, 0.6) }

// BenchmarkOverload is the same at 130% of the slots. It shows which requests
// are rejected and how long the others take:
//
//	go test ./internal/route -run '^$' -bench BenchmarkOverload -benchtime 1x
func BenchmarkOverload(b *testing.B) { benchmarkAt(b, 1.3) }

func benchmarkAt(b *testing.B, load float64) {
	for _, d := range deployments {
		for _, s := range d.services {
			s.load = load
			for _, sys := range systems {
				b.Run(fmt.Sprintf("%s/%s/%s", d.name, s.service, sys.name), func(b *testing.B) {
					var m *model
					for range b.N {
						m = newModel(s, loadSeed, sys.build)
						m.run()
					}
					report(b, m)
				})
			}
		}
	}
}

func report(b *testing.B, m *model) {
	ms := func(q float64) float64 { return float64(m.latency.ValueAtQuantile(q)) / 1000 }
	share := func(n int) float64 { return 100 * float64(n) / float64(m.arrivals) }
	b.ReportMetric(ms(50), "p50-ms")
	b.ReportMetric(ms(99), "p99-ms")
	b.ReportMetric(ms(99.9), "p999-ms")
	b.ReportMetric(m.initialImbalance, "imbalance")
	b.ReportMetric(share(m.rejected), "refused-%")
	b.ReportMetric(share(m.unknown), "unknown-%")
	b.ReportMetric(float64(m.servers[1].overCold), "over-cold")
	for _, c := range []core.Class{core.ClassPayment, core.ClassLookup} {
		b.ReportMetric(100*float64(m.byClass[c].failed)/float64(m.byClass[c].arrivals), c.String()+"-failed-%")
	}
	if c, ok := m.system.(*celeryhookSystem); ok {
		b.ReportMetric(share(c.hedges), "hedges-%")
		b.ReportMetric(share(c.retries), "retries-%")
		b.ReportMetric(float64(c.overSlots), "over-slots")
	}
}
