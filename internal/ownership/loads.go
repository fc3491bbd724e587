package ownership

import (
	"math"
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// loadReportTTL is how long a VM's report is used. VMs report every second.
	loadReportTTL = 3 * time.Second
	// unreachableReportTTL is how long a report of an unreachable target is used:
	// one report interval and the delivery delay.
	unreachableReportTTL = 1500 * time.Millisecond
	// defaultServiceTime is used while no target of a service has been measured.
	// All targets then have the same service time, so the value does not change
	// their relative capacities.
	defaultServiceTime = 100 * time.Millisecond
	// baseUnitLoad is added to the measured load of every unit, in requests per
	// second. It spreads idle units without outweighing measured ones.
	baseUnitLoad = 0.003
	// maxUnitRate bounds the rate of a unit that a VM can report, in requests per
	// second. An infinite or invalid rate would stay in the estimate for good.
	maxUnitRate = 1e6
	// loadSmoothing is the weight of a new sum of reports in the load of a unit. At
	// a large service a target gets a few requests per second, so that the counts
	// of one second differ by half of the mean without any change of the load.
	loadSmoothing = 0.2
	// surgeDeviations is how many standard deviations of random arrivals the sum
	// must exceed the load of a unit to replace it at once, as for a key that has
	// become hot.
	surgeDeviations = 3.0
)

// loadReports aggregates the load reports of the VMs.
type loadReports struct {
	byVM map[core.VM]receivedReport
	// units holds the estimated requests per second of each unit.
	units map[core.Service]*[Units]float64
}

type receivedReport struct {
	LoadReport
	receivedAt core.Instant
}

func newLoadReports() *loadReports {
	return &loadReports{byVM: make(map[core.VM]receivedReport), units: make(map[core.Service]*[Units]float64)}
}

func (l *loadReports) add(now core.Instant, m LoadReport) {
	if last, ok := l.byVM[m.VM]; ok && m.Partial {
		m.UnitLoads, m.ServiceTime = last.UnitLoads, last.ServiceTime
	}
	l.byVM[m.VM] = receivedReport{LoadReport: m, receivedAt: now}
	for vm, r := range l.byVM {
		if now.Sub(r.receivedAt) > loadReportTTL {
			delete(l.byVM, vm)
		}
	}
}

// reported returns the sum of the latest reports of the VMs.
func (l *loadReports) reported(s core.Service) *[Units]float64 {
	var sum [Units]float64
	for _, r := range l.byVM {
		for u, rate := range r.UnitLoads[s] {
			if u >= 0 && u < Units && rate >= 0 && rate <= maxUnitRate {
				sum[u] += rate
			}
		}
	}
	return &sum
}

// update adds the latest reports to the estimated loads. It is called once per
// report interval.
func (l *loadReports) update(s core.Service) {
	sum := l.reported(s)
	units := l.units[s]
	if units == nil {
		l.units[s] = sum
		return
	}
	for u, rate := range sum {
		if rate-units[u] > surgeDeviations*math.Sqrt(max(units[u], 1)) {
			units[u] = rate
			continue
		}
		units[u] += (rate - units[u]) * loadSmoothing
	}
}

// unitLoads returns the requests per second of each unit of a service, and the
// measured total.
func (l *loadReports) unitLoads(s core.Service) (*[Units]float64, float64) {
	units := l.units[s]
	if units == nil {
		units = l.reported(s)
	}
	out := *units
	var total float64
	for u := range out {
		total += out[u]
		out[u] += baseUnitLoad
	}
	return &out, total
}

// unreachableReporters returns the VMs whose latest report lists a target as
// unreachable.
func (l *loadReports) unreachableReporters(now core.Instant, t core.Target) []core.VM {
	var out []core.VM
	for vm, r := range l.byVM {
		if now.Sub(r.receivedAt) <= unreachableReportTTL && slices.Contains(r.Unreachable, t) {
			out = append(out, vm)
		}
	}
	return out
}

// meanServiceTime returns the mean over the VMs that measured a target, or 0 if
// none did.
func (l *loadReports) meanServiceTime(t core.Target) time.Duration {
	var sum time.Duration
	n := 0
	for _, r := range l.byVM {
		if d, ok := r.ServiceTime[t]; ok && d > 0 {
			sum += d
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}
