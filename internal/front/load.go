package front

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/estimate"
)

const (
	// reportEvery is the interval between load reports.
	reportEvery = time.Second
	// sketchKeys bounds the keys that are counted per target; a key with more
	// than 1/64 of the requests is always among them.
	sketchKeys = 64
	// reportKeys bounds the keys in a report. A hot key has a share of at least
	// a few hundredths, so there can't be many.
	reportKeys = 16
)

// hotKey identifies a key of a service by its hash.
type hotKey struct {
	service core.Service
	hash    uint64
}

// meter measures the load of a target between two reports.
type meter struct {
	since, at core.Instant
	slotTime  time.Duration
	requests  int
	ranges    map[core.RangeID]int
	keys      *estimate.TopKeys[hotKey]
}

func newMeter(now core.Instant) meter {
	return meter{
		since: now, at: now,
		ranges: make(map[core.RangeID]int),
		keys:   estimate.NewTopKeys[hotKey](sketchKeys),
	}
}

// count notes a request for the target.
func (m *meter) count(r core.Request) {
	m.requests++
	if r.Range == (core.RangeID{}) {
		return
	}
	m.ranges[r.Range]++
	if r.KeyHash != 0 {
		m.keys.Add(hotKey{service: r.Service, hash: r.KeyHash})
	}
}

// advance adds the slots in use since the last call.
func (m *meter) advance(now core.Instant, used int) {
	m.slotTime += now.Sub(m.at) * time.Duration(used)
	m.at = now
}

// load returns the load since the last report, if it is time for one.
func (t *target) load(now core.Instant) (core.TargetLoad, bool) {
	m := &t.meter
	period := now.Sub(m.since)
	if period < reportEvery {
		return core.TargetLoad{}, false
	}
	perSecond := func(n int) float64 { return float64(n) / period.Seconds() }
	out := core.TargetLoad{
		Target:            t.id,
		InFlight:          t.slots.used(),
		Queued:            t.queue.length + len(t.held),
		Limit:             min(t.ramp.limit, t.slots.size),
		RequestsPerSecond: perSecond(m.requests),
		Draining:          t.view.Draining,
		Ranges:            make(map[core.RangeID]float64, len(m.ranges)),
	}
	if t.slots.size > 0 {
		out.Utilisation = float64(m.slotTime) / float64(period) / float64(t.slots.size)
	}
	for id, n := range m.ranges {
		out.Ranges[id] = perSecond(n)
	}
	for _, k := range m.keys.Top(reportKeys) {
		out.HotKeys = append(out.HotKeys, core.KeyLoad{Service: k.Key.service, KeyHash: k.Key.hash, RequestsPerSecond: perSecond(int(k.N - k.Error))})
	}
	m.since, m.slotTime, m.requests = now, 0, 0
	clear(m.ranges)
	m.keys.Reset()
	return out, true
}
