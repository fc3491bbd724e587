package balance

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/ownership"
)

func (b *Balancer) countRequest(s core.Service, key uint16) {
	units := b.unitCounts[s]
	if units == nil {
		units = make(map[int]int)
		b.unitCounts[s] = units
	}
	units[ownership.Unit(key)]++
}

// loadReport returns the request rates since the last load report, and the
// service times and reachability of the targets of sharded services.
func (b *Balancer) loadReport(now core.Instant) ownership.LoadReport {
	load := ownership.LoadReport{
		UnitLoads:   make(map[core.Service]map[int]float64),
		ServiceTime: make(map[core.Target]time.Duration),
	}
	elapsed := now.Sub(b.lastReport).Seconds()
	b.lastReport = now
	for s, units := range b.unitCounts {
		rates := make(map[int]float64, len(units))
		for u, n := range units {
			rates[u] = float64(n) / elapsed
		}
		load.UnitLoads[s] = rates
		clear(units)
	}
	for id, t := range b.targets {
		if !b.services[t.Service].Sharded {
			continue
		}
		if t.serviceTime > 0 {
			load.ServiceTime[id] = t.adjustedServiceTime()
		}
		if t.unreachable || t.replaced {
			load.Unreachable = append(load.Unreachable, id)
		}
	}
	return load
}
