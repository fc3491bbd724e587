package soak

import (
	"slices"
	"sync"
	"time"

	"celeryhook.example/celeryhook/standin/wire"
)

// The bounds of the deployments, from the users' site files.
const (
	// contact is how long a part must have been undisturbed until bounds in time
	// hold for it.
	contact = 3 * time.Second
	// drainBound is the time within which a leaving target's new work ends.
	drainBound = 2500 * time.Millisecond
	// configBound is the time within which a configuration is in force.
	configBound = 2500 * time.Millisecond
	// rollbackBound is how long after the first effect of a configuration the
	// same process may still act by an older one.
	rollbackBound = 250 * time.Millisecond
	// evacuateBound is the time within which an evacuated failure domain gets
	// nothing new.
	evacuateBound = 5 * time.Second
	// grace is the time between SIGTERM and SIGKILL.
	grace = wire.GracePeriod
	// lossBound is how long a process may have had a request that ends
	// unanswered by a planned stop.
	lossBound = 200 * time.Millisecond
	// overlapBound is how long two targets may hold a key if no request shows it.
	overlapBound = 500 * time.Millisecond
	// thawBound is how long after a pause or a cut late grants are excused.
	thawBound = 300 * time.Millisecond
)

// place names what a disturbance is about: a VM, a target, the store, or the
// machine on which the soak runs.
type place string

const (
	thisMachine place = "machine"
	theStore    place = "store"
)

// disturbance is open as long as to is zero.
type disturbance struct {
	place    place
	from, to time.Time
}

// history is what was disturbed when. Planned work is no disturbance, but for
// the stop of a VM.
type history struct {
	mu   sync.Mutex
	list []disturbance
	// thawed is when a pause or a cut last ended.
	thawed time.Time
}

// begin returns the function that ends the disturbance.
func (h *history) begin(p place) func() {
	end, _ := h.beginAt(p)
	return end
}

// beginAt also returns when the disturbance began.
func (h *history) beginAt(p place) (func(), time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i, now := len(h.list), time.Now()
	h.list = append(h.list, disturbance{place: p, from: now})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.list[i].to = time.Now()
		h.thawed = h.list[i].to
	}, now
}

// instant notes a disturbance without a duration.
func (h *history) instant(p place) { h.begin(p)() }

// calm reports whether places were undisturbed from contact before a time until
// another.
func (h *history) calm(from, to time.Time, places ...place) bool {
	return h.undisturbed(from, to, func(d disturbance) bool {
		return d.place == thisMachine || slices.Contains(places, d.place)
	})
}

// allCalmBut is calm for every place, without the planned stop of a VM itself.
func (h *history) allCalmBut(p place, stop, from, to time.Time) bool {
	return h.undisturbed(from, to, func(d disturbance) bool {
		return d.place != p || !d.from.Equal(stop)
	})
}

// undisturbed reports whether no disturbance that counts lies between contact
// before a time and another.
func (h *history) undisturbed(from, to time.Time, counts func(disturbance) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	from = from.Add(-contact)
	for _, d := range h.list {
		over := !d.to.IsZero() && d.to.Before(from)
		if !over && !d.from.After(to) && counts(d) {
			return false
		}
	}
	return true
}

// lateGrants reports whether a grant at this time may have been held up.
func (h *history) lateGrants(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.thawed) < thawBound
}

const (
	// A goroutine that oversleeps by stallBound shows that the machine is too
	// busy for bounds in time.
	stallInterval = 20 * time.Millisecond
	stallBound    = 100 * time.Millisecond
)

// watchStalls notes when the machine is too busy, until done is closed.
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
			h.instant(thisMachine)
		}
		last = now
	}
}
