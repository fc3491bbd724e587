package coordinate

import (
	"fmt"
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/platformlog"
)

const (
	// promiseInterval is the pause between requests for promises: two may be
	// lost before a promise expires.
	promiseInterval = 200 * time.Millisecond
	// collectFor is how long a candidate waits for all promises before it
	// writes a new term.
	collectFor = 300 * time.Millisecond
	// appendRetry is the pause before an append is repeated.
	appendRetry = 500 * time.Millisecond
	// firstTermDelay separates the first proposals of a failure domain's VMs,
	// so that VMs that start together find each other first.
	firstTermDelay = 400 * time.Millisecond
)

// candidacy lets a candidate take the place of a silent holder.
func (c *Coordinator) candidacy(now core.Instant) {
	a := &c.authority
	others := len(a.term.Candidates) - 1
	if a.acting && a.promises(now, a.term.Candidates) < others {
		a.acting = false
	}
	if a.acting {
		return
	}
	may := a.known && !a.isCoordinator() && a.rank() > 0 && a.mayPromise(now) &&
		!now.Before(a.given.until) && a.silence(now) > core.HeartbeatTimeout && c.firstCandidate()
	if !may {
		a.collecting = false
		return
	}
	if !a.collecting {
		a.collecting, a.since = true, now
		c.askAt = now
	}
	if others > 0 && !a.superseded && a.promises(now, a.term.Candidates) == others {
		a.acting, a.collecting = true, false
	}
}

// firstCandidate reports whether no candidate before this VM is alive.
func (c *Coordinator) firstCandidate() bool {
	for _, vm := range c.authority.term.Candidates {
		if vm == c.vm {
			return true
		}
		if c.view.Members[vm].Live {
			return false
		}
	}
	return false
}

// askPromises asks all VMs whose promise or acknowledgement is of use.
func (c *Coordinator) askPromises(now core.Instant) {
	if now.Before(c.askAt) {
		return
	}
	a := &c.authority
	var ask []core.VM
	switch {
	case a.isCoordinator() && !a.superseded && (a.own || a.fresh(now)):
		for _, set := range a.sets(now) {
			ask = append(ask, set...)
		}
		if !a.closed(now) {
			ask = append(ask, a.term.PreviousCandidates...)
			ask = append(ask, a.term.PreviousCoordinator)
		}
	case a.acting || a.collecting:
		ask = append(ask, a.term.Candidates...)
		if a.pending != nil {
			ask = append(ask, a.pending.record.Candidates...)
		}
		if !a.closed(now) {
			ask = append(ask, a.term.PreviousCandidates...)
		}
	default:
		return
	}
	c.askAt = now.Add(promiseInterval)
	slices.Sort(ask)
	role := a.role()
	for _, vm := range slices.Compact(ask) {
		if m, ok := c.view.Members[vm]; ok && vm != c.vm {
			c.emit(AskPromise{To: m.Info, Ask: Ask{
				FailureDomain: c.domain, Term: role.Term, Rank: role.Rank, Holder: c.vm, Offset: c.folded.Offset,
			}})
		}
	}
}

// renewTerm appends a new term where one is due and repeats an append whose
// outcome is unknown.
func (c *Coordinator) renewTerm(now core.Instant) {
	a := &c.authority
	if p := a.pending; p != nil {
		if p.offset != 0 && c.folded.Offset >= p.offset && a.term.Number == p.record.Base {
			a.pending = nil // the record was skipped
			return
		}
		if now.Sub(p.sentAt) >= appendRetry && p.offset == 0 {
			p.sentAt = now
			c.emit(Append{Record: p.record})
		}
		return
	}
	if c.policy == nil || !a.fresh(now) || !c.termDue(now) {
		return
	}
	candidates := c.candidates()
	c.records++
	a.pending = &pendingTerm{sentAt: now, record: platformlog.Record{
		Kind: platformlog.KindTerm, ID: c.recordID(), Author: string(c.vm), Base: a.term.Number,
		FailureDomain: c.domain, Coordinator: c.vm, Candidates: candidates,
	}}
	c.emit(Append{Record: a.pending.record})
}

func (c *Coordinator) recordID() string {
	return fmt.Sprintf("%s-%d-%d", c.vm, c.incarnation, c.records)
}

// termDue reports whether a new term is due. In each case the term in force
// must have replaced the one before for good: the log keeps only one previous
// set of candidates, so that a writer could not close an older one.
func (c *Coordinator) termDue(now core.Instant) bool {
	a := &c.authority
	switch {
	case !a.known:
		return c.firstTermDue(now)
	case a.isCoordinator() && (!a.own || a.superseded):
		return a.closed(now)
	case a.isCoordinator():
		return a.holding && a.closed(now) && !slices.Equal(c.candidates(), a.term.Candidates)
	case a.acting:
		return a.closed(now)
	case a.collecting:
		return a.closed(now) && (len(a.term.Candidates) < 2 || now.Sub(a.since) >= collectFor)
	}
	return false
}

func (c *Coordinator) firstTermDue(now core.Instant) bool {
	turn := slices.Index(c.view.Live(c.domain), c.vm) + 1
	return turn > 0 && now.Sub(c.authority.started) >= time.Duration(turn)*firstTermDelay
}

// candidates returns the live candidates of the term in their order, filled up
// with other live VMs.
func (c *Coordinator) candidates() []core.VM {
	fit := func(vm core.VM) bool {
		m := c.view.Members[vm]
		return vm != c.vm && m.Live && !m.Leaving && m.FailureDomain == c.domain
	}
	out := []core.VM{}
	add := func(vms []core.VM) {
		for _, vm := range vms {
			if len(out) < c.policy.Control.Candidates && fit(vm) && !slices.Contains(out, vm) {
				out = append(out, vm)
			}
		}
	}
	add(c.authority.term.Candidates)
	add(c.view.Live(c.domain))
	return out
}
