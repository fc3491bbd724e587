package coordinate

import (
	"fmt"
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/platformlog"
)

const (
	// promiseInterval is the interval between requests for a promise. Two
	// requests may be lost before a promise expires.
	promiseInterval = 200 * time.Millisecond
	// collectTimeout is how long a candidate waits for the promises of all other
	// candidates before it writes a new term.
	collectTimeout = 300 * time.Millisecond
	// appendRetryInterval is the delay before an append is retried.
	appendRetryInterval = 500 * time.Millisecond
	// firstTermDelay staggers the proposals of a failure domain's first term, so
	// that VMs that start together discover each other first.
	firstTermDelay = 400 * time.Millisecond
)

// updateCandidacy makes a candidate replace a holder that no longer requests
// promises.
func (c *Coordinator) updateCandidacy(now core.Instant) {
	a := &c.authority
	others := len(a.term.Candidates) - 1
	if a.acting && a.countPromises(now, a.term.Candidates) < others {
		a.acting = false
	}
	if a.acting {
		return
	}
	eligible := a.hasTerm && !a.isCoordinator() && a.rank() > 0 && a.mayPromise(now) &&
		!now.Before(a.givenPromise.until) && a.sincePromiseRequest(now) > core.HeartbeatTimeout && c.isFirstLiveCandidate()
	if !eligible {
		a.collecting = false
		return
	}
	if !a.collecting {
		a.collecting, a.collectingSince = true, now
		c.nextPromiseRequestAt = now
	}
	if others > 0 && !a.superseded && a.countPromises(now, a.term.Candidates) == others {
		a.acting, a.collecting = true, false
	}
}

// isFirstLiveCandidate reports whether no candidate ranked before this VM is
// alive.
func (c *Coordinator) isFirstLiveCandidate() bool {
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

// requestPromises sends a request to every VM whose promise or acknowledgement
// of the term is needed.
func (c *Coordinator) requestPromises(now core.Instant) {
	if now.Before(c.nextPromiseRequestAt) {
		return
	}
	a := &c.authority
	var recipients []core.VM
	switch {
	case a.isCoordinator() && !a.superseded && (a.ownTerm || a.logFresh(now)):
		for _, set := range a.candidateSets(now) {
			recipients = append(recipients, set...)
		}
		if !a.previousTermClosed(now) {
			recipients = append(recipients, a.term.PreviousCandidates...)
			recipients = append(recipients, a.term.PreviousCoordinator)
		}
	case a.acting || a.collecting:
		recipients = append(recipients, a.term.Candidates...)
		if a.pending != nil {
			recipients = append(recipients, a.pending.record.Candidates...)
		}
		if !a.previousTermClosed(now) {
			recipients = append(recipients, a.term.PreviousCandidates...)
		}
	default:
		return
	}
	c.nextPromiseRequestAt = now.Add(promiseInterval)
	slices.Sort(recipients)
	role := a.role()
	for _, vm := range slices.Compact(recipients) {
		if m, ok := c.view.Members[vm]; ok && vm != c.vm {
			c.emit(SendPromiseRequest{To: m.Info, Request: PromiseRequest{
				FailureDomain: c.domain, Term: role.Term, Rank: role.Rank, Holder: c.vm, Offset: c.logState.Offset,
			}})
		}
	}
}

// updateTerm appends a new term if one is due and retries an append whose
// outcome is unknown.
func (c *Coordinator) updateTerm(now core.Instant) {
	a := &c.authority
	if p := a.pending; p != nil {
		if p.offset != 0 && c.logState.Offset >= p.offset && a.term.Number == p.record.Base {
			a.pending = nil // the log has passed the record without applying it
			return
		}
		if now.Sub(p.lastSentAt) >= appendRetryInterval && p.offset == 0 {
			p.lastSentAt = now
			c.emit(Append{Record: p.record})
		}
		return
	}
	if c.policy == nil || !a.logFresh(now) || !c.termDue(now) {
		return
	}
	candidates := c.candidates()
	c.recordCount++
	a.pending = &pendingTerm{lastSentAt: now, record: platformlog.Record{
		Kind: platformlog.KindTerm, ID: c.recordID(), Author: string(c.vm), Base: a.term.Number,
		FailureDomain: c.domain, Coordinator: c.vm, Candidates: candidates,
	}}
	c.emit(Append{Record: a.pending.record})
}

func (c *Coordinator) recordID() string {
	return fmt.Sprintf("%s-%d-%d", c.vm, c.incarnation, c.recordCount)
}

// termDue reports whether a new term is due. In each case the previous term must
// be closed: the log keeps only one previous set of candidates, so the writer of
// a new term could not close an older one.
func (c *Coordinator) termDue(now core.Instant) bool {
	a := &c.authority
	switch {
	case !a.hasTerm:
		return c.firstTermDue(now)
	case a.isCoordinator() && (!a.ownTerm || a.superseded):
		return a.previousTermClosed(now)
	case a.isCoordinator():
		return a.holding && a.previousTermClosed(now) && !slices.Equal(c.candidates(), a.term.Candidates)
	case a.acting:
		return a.previousTermClosed(now)
	case a.collecting:
		return a.previousTermClosed(now) && (len(a.term.Candidates) < 2 || now.Sub(a.collectingSince) >= collectTimeout)
	}
	return false
}

func (c *Coordinator) firstTermDue(now core.Instant) bool {
	position := slices.Index(c.view.Live(c.domain), c.vm) + 1
	return position > 0 && now.Sub(c.authority.startedAt) >= time.Duration(position)*firstTermDelay
}

// candidates returns the term's eligible candidates in order, filled up with
// other live VMs to the number that the policy sets.
func (c *Coordinator) candidates() []core.VM {
	isEligible := func(vm core.VM) bool {
		m := c.view.Members[vm]
		return vm != c.vm && m.Live && !m.Leaving && m.FailureDomain == c.domain
	}
	out := []core.VM{}
	add := func(vms []core.VM) {
		for _, vm := range vms {
			if len(out) < c.policy.Control.Candidates && isEligible(vm) && !slices.Contains(out, vm) {
				out = append(out, vm)
			}
		}
	}
	add(c.authority.term.Candidates)
	add(c.view.Live(c.domain))
	return out
}
