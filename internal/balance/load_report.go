package balance

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/ownership"
)

// countRequest adds a request to the load of its key. A request counts by its work
// relative to the mean of the service.
func (b *Balancer) countRequest(req SelectTarget) {
	units := b.unitLoads[req.Service]
	if units == nil {
		units = make(map[int]float64)
		b.unitLoads[req.Service] = units
	}
	w := b.workOf(req)
	units[ownership.Unit(req.Key)] += float64(w.request) / float64(w.queued)
}

// loadReport returns the request rates since the last load report, and the
// service times and reachability of the targets of sharded services.
func (b *Balancer) loadReport(now core.Instant) ownership.LoadReport {
	load := ownership.LoadReport{
		UnitLoads:   make(map[core.Service]map[int]float64),
		ServiceTime: make(map[core.Target]time.Duration),
	}
	if elapsed := now.Sub(b.lastReport).Seconds(); elapsed > 0 {
		b.lastReport = now
		b.reportUnitLoads(load, elapsed)
	}
	for id, t := range b.targets {
		if !b.services[t.Service].Sharded {
			continue
		}
		if t.pace > 0 {
			load.ServiceTime[id] = t.meanDuration(b.work.mean(t.Service))
		}
		if t.unreachable || t.replaced {
			load.Unreachable = append(load.Unreachable, id)
		}
	}
	return load
}

// reportUnitLoads adds the request rates since the last report and restarts the
// count.
func (b *Balancer) reportUnitLoads(load ownership.LoadReport, elapsed float64) {
	for s, units := range b.unitLoads {
		rates := make(map[int]float64, len(units))
		for u, n := range units {
			rates[u] = n / elapsed
		}
		load.UnitLoads[s] = rates
		clear(units)
	}
}
