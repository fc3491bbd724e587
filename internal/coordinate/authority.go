package coordinate

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/platformlog"
)

// settle is how long a new holder waits before time-based acts. When it gets
// the keep right its predecessor has lost it, but a front may still act on the
// predecessor's confirmation for grant.HolderLease, its take may be under way for
// grant.OrderTimeout, and requests of a replaced front may run until the end
// of their grant. The grant lease exceeds the first two together.
var settle = core.PlusDrift(max(core.GrantLease, grant.HolderLease+grant.OrderTimeout))

// authority decides what this VM may do in the term in force.
type authority struct {
	self    core.VM
	started core.Instant

	term    platformlog.Term
	known   bool
	learned core.Instant
	// own is set if this process appended the term in force. A process that
	// finds itself named by a term of its predecessor does not know which
	// tokens that one gave out, so it writes a new term first.
	own bool
	// superseded is set once a greater rank was seen to act in this term.
	superseded bool

	read    core.Instant
	hasRead bool

	// heard is when a holder last asked for a promise.
	heard core.Instant
	given promise
	// got holds the ends of the promises that others gave to this VM.
	got map[core.VM]core.Instant
	// knows are the VMs that granted a promise in the term in force, which
	// proves that they promise nothing to a holder of an earlier one.
	knows map[core.VM]bool
	// offsets are the log offsets that other VMs have read.
	offsets map[core.VM]uint64

	pending *pendingTerm

	collecting bool
	since      core.Instant // begin of collecting
	acting     bool

	holding   bool
	heldSince core.Instant
	// closedSince is when the term in force was first found closed, 0 before.
	closedSince core.Instant
	// interrupted is set once the keep right was lost: another VM may have
	// acted since.
	interrupted bool
}

// promise is a promise that this VM gave.
type promise struct {
	to    core.VM
	until core.Instant
}

// pendingTerm is a term record whose outcome is not known yet.
type pendingTerm struct {
	record platformlog.Record
	sentAt core.Instant
	// offset is set once the append has succeeded.
	offset uint64
}

func newAuthority(self core.VM) authority {
	return authority{self: self, got: make(map[core.VM]core.Instant), knows: make(map[core.VM]bool), offsets: make(map[core.VM]uint64)}
}

// learn takes the term in force as the log gives it.
func (a *authority) learn(now core.Instant, t platformlog.Term, ok bool) {
	if !ok || a.known && t.Number <= a.term.Number {
		return
	}
	a.own = a.pending != nil && t.Coordinator == a.self && t.PreviousNumber == a.pending.record.Base
	a.pending = nil
	a.term, a.known, a.learned = t, true, now
	a.heard = now
	a.superseded, a.collecting, a.acting = false, false, false
	a.closedSince = 0
	clear(a.knows)
}

// observe notes when the predecessor was first known to have lost its rights.
func (a *authority) observe(now core.Instant) {
	if a.closedSince == 0 && a.known && a.closed(now) {
		a.closedSince = now
	}
}

func (a *authority) isCoordinator() bool { return a.known && a.term.Coordinator == a.self }

// rank is the position among the term's candidates from 1, or 0.
func (a *authority) rank() uint32 {
	return uint32(slices.Index(a.term.Candidates, a.self) + 1)
}

// role is the term and rank under which this VM holds or wants to hold.
func (a *authority) role() core.Token {
	if a.isCoordinator() {
		return core.Token{Term: a.term.Number}
	}
	return core.Token{Term: a.term.Number, Rank: a.rank()}
}

// fresh reports whether the log was read within the log lease.
func (a *authority) fresh(now core.Instant) bool {
	return a.hasRead && now.Before(a.read.Add(core.MinusDrift(core.LogLease)))
}

// mayPromise reports whether this process can know what its predecessor under
// the same id promised: all promises have expired, and every term that it
// acknowledged has been read.
func (a *authority) mayPromise(now core.Instant) bool {
	return a.known && a.hasRead && !now.Before(a.started.Add(core.PlusDrift(core.PromiseLease)))
}

// give decides on a request for a promise.
func (a *authority) give(now core.Instant, ask Ask) Answer {
	answer := Answer{Term: a.term.Number}
	if !a.mayPromise(now) || ask.Term != a.term.Number || a.pending != nil || a.acting || a.isCoordinator() {
		return answer
	}
	if !a.entitled(ask) || a.collecting && ask.Rank > a.rank() {
		return answer
	}
	if a.given.to != ask.Holder && now.Before(a.given.until) {
		return answer
	}
	a.given = promise{to: ask.Holder, until: now.Add(core.PlusDrift(core.PromiseLease))}
	a.heard = now
	answer.Granted = true
	return answer
}

// entitled reports whether the term gives the rank to the holder.
func (a *authority) entitled(ask Ask) bool {
	if ask.Rank == 0 {
		return a.term.Coordinator == ask.Holder
	}
	return int(ask.Rank) <= len(a.term.Candidates) && a.term.Candidates[ask.Rank-1] == ask.Holder
}

// receive takes the answer to a request.
func (a *authority) receive(m PromiseAnswered) {
	a.offsets[m.From] = max(a.offsets[m.From], m.Answer.Offset)
	if !m.Answer.Granted || m.Answer.Term != m.Ask.Term {
		return
	}
	a.got[m.From] = max(a.got[m.From], m.Sent.Add(core.MinusDrift(core.PromiseLease)))
	if m.Ask.Term == a.term.Number {
		a.knows[m.From] = true
	}
}

func (a *authority) promised(now core.Instant, vm core.VM) bool { return now.Before(a.got[vm]) }

// promises counts the promises of a set, not counting this VM.
func (a *authority) promises(now core.Instant, set []core.VM) int {
	n := 0
	for _, vm := range set {
		if vm != a.self && a.promised(now, vm) {
			n++
		}
	}
	return n
}

// takesOver reports whether the own term replaces another VM's.
func (a *authority) takesOver() bool {
	return a.term.PreviousNumber != 0 && a.term.PreviousCoordinator != a.self
}

// closed reports whether no holder of the previous term can act any more,
// apart from what it decided before.
func (a *authority) closed(now core.Instant) bool {
	t := a.term
	if t.PreviousNumber == 0 {
		return true
	}
	if t.PreviousCoordinator == t.Coordinator {
		// One candidate that knows the term leaves no other one with all
		// promises. A sole candidate never acts without a term of its own.
		return len(t.PreviousCandidates) < 2 || slices.ContainsFunc(t.PreviousCandidates, a.isAware)
	}
	if len(t.PreviousCandidates) == 1 {
		// The writer's promise had expired, so that coordinator needs the log.
		return a.isAware(t.PreviousCoordinator) || a.logAged(now)
	}
	return !slices.ContainsFunc(t.PreviousCandidates, func(vm core.VM) bool { return !a.isAware(vm) })
}

// isAware reports whether a VM knows the term in force: its writer had given no
// promise that was still valid.
func (a *authority) isAware(vm core.VM) bool {
	return vm == a.self || vm == a.term.Coordinator || a.knows[vm]
}

// sets are the sets of candidates that may replace this holder: those of the
// term if it is the coordinator, of its own term whose outcome is unknown, and
// of the previous term while its candidates may not know of this one.
func (a *authority) sets(now core.Instant) [][]core.VM {
	var out [][]core.VM
	if a.pending != nil {
		out = append(out, a.pending.record.Candidates)
	}
	if !a.isCoordinator() {
		return out
	}
	out = append(out, a.term.Candidates)
	if !a.takesOver() && !a.closed(now) {
		out = append(out, a.term.PreviousCandidates)
	}
	return out
}

// keep reports the right to conditional acts: orders that a target arbitrates.
func (a *authority) keep(now core.Instant) bool {
	switch {
	case a.superseded || !a.known:
		return false
	case !a.isCoordinator() && (!a.acting || a.promises(now, a.term.Candidates) < len(a.term.Candidates)-1):
		return false
	case a.isCoordinator() && (!a.own || a.takesOver() && !a.succeeded(now)):
		return false
	}
	for _, set := range a.sets(now) {
		// A sole candidate needs no promise for a term of its own, so that only
		// the log or its promise shows that there is none.
		if n := a.promises(now, set); n == 0 && (len(set) >= 2 || len(set) == 1 && !a.fresh(now)) {
			return false
		}
	}
	return true
}

// succeeded reports whether the previous coordinator has lost the move right:
// it has no promise left, or its last fresh read of the log has aged.
func (a *authority) succeeded(now core.Instant) bool {
	if a.closed(now) || a.logAged(now) {
		return true
	}
	others := len(a.term.PreviousCandidates) - 1
	return others > 0 && a.promises(now, a.term.PreviousCandidates) == others
}

// logAged reports whether every read of the log that was begun before the term
// in force was in it has aged beyond the log lease.
func (a *authority) logAged(now core.Instant) bool {
	return !now.Before(a.learned.Add(core.PlusDrift(core.LogLease)))
}

// move reports the right to time-based acts.
func (a *authority) move(now core.Instant) bool {
	if !a.keep(now) {
		return false
	}
	first := a.term.PreviousNumber == 0 && a.isCoordinator() && !a.interrupted
	if !first && now.Before(a.heldSince.Add(settle)) {
		return false
	}
	// The keep right may have come by the log alone, while the predecessor still
	// had its own by a promise.
	if a.isCoordinator() && a.takesOver() &&
		(a.closedSince == 0 || now.Before(a.closedSince.Add(settle)) || !a.logAged(now)) {
		return false
	}
	for _, set := range a.sets(now) {
		n := a.promises(now, set)
		if n < len(set) && (!a.fresh(now) || len(set) >= 2 && n == 0) {
			return false
		}
	}
	return true
}

// silence is how long no holder has asked for a promise.
func (a *authority) silence(now core.Instant) time.Duration { return now.Sub(a.heard) }
