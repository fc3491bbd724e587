package soak

import (
	"slices"
	"sync"
	"time"

	"celeryhook.example/celeryhook/standin/wire"
)

// Time bounds, from the site files of the deployments.
const (
	// recoveryTime is how long a component must have been undisturbed before time
	// bounds apply to it.
	recoveryTime = 3 * time.Second
	// drainBound is the time after which a draining target must not receive new
	// requests.
	drainBound = 2500 * time.Millisecond
	// configBound is the time after which a configuration must be in force.
	configBound = 2500 * time.Millisecond
	// rollbackBound is how long a process may still apply an older configuration
	// after it first applied a newer one.
	rollbackBound = 250 * time.Millisecond
	// evacuateBound is the time after which an evacuated failure domain must not
	// receive new requests.
	evacuateBound = 5 * time.Second
	// gracePeriod is the time between SIGTERM and SIGKILL.
	gracePeriod = wire.GracePeriod
	// lossBound is the maximum age of a request that a planned stop may leave
	// without a response.
	lossBound = 200 * time.Millisecond
	// overlapBound is how long two targets may hold a key while at most one of
	// them runs requests for it.
	overlapBound = 500 * time.Millisecond
	// lateGrantBound is how long after the end of a disturbance delayed grants
	// are tolerated.
	lateGrantBound = 300 * time.Millisecond
)

// component is the subject of a disturbance: the name of a VM or a target, the
// store, or the host of the test.
type component string

const (
	hostComponent  component = "machine"
	storeComponent component = "store"
)

// frozen is the component of the freezes of a VM, which is part of the VM.
func frozen(vm string) component { return component("freeze of " + vm) }

// disturbance is in progress while to is zero.
type disturbance struct {
	component component
	from, to  time.Time
}

// history records the disturbances. Planned operations don't count as
// disturbances, except for the stop of a VM.
type history struct {
	mu   sync.Mutex
	list []disturbance
	// lastEnded is when the last disturbance ended.
	lastEnded time.Time
}

// begin records the start of a disturbance, and returns the function that ends it.
func (h *history) begin(c component) func() {
	end, _ := h.beginAt(c)
	return end
}

// beginAt is begin and also returns the start.
func (h *history) beginAt(c component) (func(), time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i, now := len(h.list), time.Now()
	h.list = append(h.list, disturbance{component: c, from: now})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.list[i].to = time.Now()
		h.lastEnded = h.list[i].to
	}, now
}

// instant records a disturbance without a duration.
func (h *history) instant(c component) { h.begin(c)() }

// undisturbed reports whether the components and the host had no disturbance
// from recoveryTime before from until to.
func (h *history) undisturbed(from, to time.Time, components ...component) bool {
	return h.noDisturbance(from, to, func(d disturbance) bool {
		return d.component == hostComponent || slices.Contains(components, d.component)
	})
}

// undisturbedExceptStop is undisturbed for all components, without the stop of c
// that began at the given time.
func (h *history) undisturbedExceptStop(c component, stop, from, to time.Time) bool {
	return h.noDisturbance(from, to, func(d disturbance) bool {
		return d.component != c || !d.from.Equal(stop)
	})
}

// noDisturbance reports whether no disturbance that counts overlaps the time from
// recoveryTime before from until to.
func (h *history) noDisturbance(from, to time.Time, counts func(disturbance) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	from = from.Add(-recoveryTime)
	for _, d := range h.list {
		endedBefore := !d.to.IsZero() && d.to.Before(from)
		if !endedBefore && !d.from.After(to) && counts(d) {
			return false
		}
	}
	return true
}

// grantsMayBeLate reports whether a grant that arrives now may have been delayed
// by a disturbance.
func (h *history) grantsMayBeLate(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.lastEnded) < lateGrantBound
}

const (
	// A ticker that is late by stallBound shows that the host is too busy for
	// time bounds.
	stallInterval = 20 * time.Millisecond
	stallBound    = 100 * time.Millisecond
)

// watchStalls records when the host is too busy, until done is closed.
func (h *history) watchStalls(done <-chan struct{}) {
	last := time.Now()
	t := time.NewTicker(stallInterval)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
		}
		now := time.Now()
		if now.Sub(last) > stallInterval+stallBound {
			h.instant(hostComponent)
		}
		last = now
	}
}
