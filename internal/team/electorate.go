package team

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/roster"
)

// electorateTime is how long a VM that is no longer listed counts for a majority and
// for local shares. A VM without the store doesn't notice that others are removed from
// the list, and stops to act as account before they stop to count.
const electorateTime = 10 * time.Minute

// electorate counts the VMs that were listed in the last electorateTime.
type electorate struct {
	members *roster.View
	seen    map[core.VM]core.Instant
}

func newElectorate() electorate { return electorate{seen: make(map[core.VM]core.Instant)} }

// changed updates the list of VMs.
func (e *electorate) changed(now core.Instant, v *roster.View) {
	e.update(now)
	e.members = v
	e.update(now)
}

// update records that the VMs are listed at present.
func (e *electorate) update(now core.Instant) {
	if e.members == nil {
		return
	}
	for _, m := range e.members.All() {
		e.seen[m.VM] = now
	}
	for vm, at := range e.seen {
		if now.Sub(at) > electorateTime {
			delete(e.seen, vm)
		}
	}
}

func (e *electorate) size() int { return max(1, len(e.seen)) }
