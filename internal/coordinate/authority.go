package coordinate

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/platformlog"
)

// takeOverDelay is how long a new holder waits before it takes time-based
// actions. Its predecessor lost the keep right before this VM gained it, but a
// front may still act on the predecessor's confirmation for grant.HolderLease,
// its take order may be in flight for grant.OrderTimeout, and requests of a
// replaced front may run until their grant ends. The grant lease is longer than
// the first two together.
var takeOverDelay = core.PlusDrift(max(core.GrantLease, grant.HolderLease+grant.OrderTimeout))

// authority determines what this VM may do in the current term.
type authority struct {
	self      core.VM
	startedAt core.Instant

	term          platformlog.Term
	hasTerm       bool
	termLearnedAt core.Instant
	// ownTerm is set if this process appended the current term. If an earlier
	// process of the same VM wrote it, the tokens issued in it are unknown, so
	// this process writes a new term first.
	ownTerm bool
	// superseded is set once a holder with a greater rank was seen to act in
	// this term.
	superseded bool

	lastReadAt core.Instant
	hasRead    bool

	// lastRequestAt is when a holder last requested a promise and got it, or when
	// the term was read from the log.
	lastRequestAt core.Instant
	givenPromise  promise
	// receivedUntil maps VMs to the expiry of their promises to this VM.
	receivedUntil map[core.VM]core.Instant
	// acknowledged are the VMs that granted a promise in the current term, which
	// proves that they grant none to a holder of an earlier term.
	acknowledged map[core.VM]bool
	// peerOffsets are the log offsets up to which other VMs have read.
	peerOffsets map[core.VM]uint64

	pending *pendingTerm

	collecting      bool
	collectingSince core.Instant // start of collecting promises
	acting          bool

	holding      bool
	holdingSince core.Instant
	// previousClosedAt is when the previous term was first found closed, 0 if it
	// was not.
	previousClosedAt core.Instant
	// interrupted is set once the keep right was lost, after which another VM
	// may have acted.
	interrupted bool
}

// promise is a promise that this VM granted.
type promise struct {
	to    core.VM
	until core.Instant
}

// pendingTerm is a term record whose append has an unknown outcome.
type pendingTerm struct {
	record     platformlog.Record
	lastSentAt core.Instant
	// offset is set once the append has succeeded.
	offset uint64
}

func newAuthority(self core.VM) authority {
	return authority{self: self, receivedUntil: make(map[core.VM]core.Instant), acknowledged: make(map[core.VM]bool), peerOffsets: make(map[core.VM]uint64)}
}

// setTerm applies the current term as read from the log.
func (a *authority) setTerm(now core.Instant, t platformlog.Term, ok bool) {
	if !ok || a.hasTerm && t.Number <= a.term.Number {
		return
	}
	a.ownTerm = a.pending != nil && t.Coordinator == a.self && t.PreviousNumber == a.pending.record.Base
	a.pending = nil
	a.term, a.hasTerm, a.termLearnedAt = t, true, now
	a.lastRequestAt = now
	a.superseded, a.collecting, a.acting = false, false, false
	a.previousClosedAt = 0
	clear(a.acknowledged)
}

// noteClosed records when the previous term was first found closed.
func (a *authority) noteClosed(now core.Instant) {
	if a.previousClosedAt == 0 && a.hasTerm && a.previousTermClosed(now) {
		a.previousClosedAt = now
	}
}

func (a *authority) isCoordinator() bool { return a.hasTerm && a.term.Coordinator == a.self }

// rank returns the 1-based position among the term's candidates, or 0 if this VM
// is none of them.
func (a *authority) rank() uint32 {
	return uint32(slices.Index(a.term.Candidates, a.self) + 1)
}

// role returns the term and rank under which this VM is or would be the holder.
func (a *authority) role() core.Token {
	if a.isCoordinator() {
		return core.Token{Term: a.term.Number}
	}
	return core.Token{Term: a.term.Number, Rank: a.rank()}
}

// logFresh reports whether the log was read to its end within the log lease.
func (a *authority) logFresh(now core.Instant) bool {
	return a.hasRead && now.Before(a.lastReadAt.Add(core.MinusDrift(core.LogLease)))
}

// mayPromise reports whether the promises of an earlier process of this VM can no
// longer matter: they have all expired, and every term that it acknowledged has
// been read.
func (a *authority) mayPromise(now core.Instant) bool {
	return a.hasTerm && a.hasRead && !now.Before(a.startedAt.Add(core.PlusDrift(core.PromiseLease)))
}

// givePromise grants or denies a request for a promise.
func (a *authority) givePromise(now core.Instant, request PromiseRequest) PromiseReply {
	reply := PromiseReply{Term: a.term.Number}
	if !a.mayPromise(now) || request.Term != a.term.Number || a.pending != nil || a.acting || a.isCoordinator() {
		return reply
	}
	if !a.isEntitled(request) || a.collecting && request.Rank > a.rank() {
		return reply
	}
	if a.givenPromise.to != request.Holder && now.Before(a.givenPromise.until) {
		return reply
	}
	a.givenPromise = promise{to: request.Holder, until: now.Add(core.PlusDrift(core.PromiseLease))}
	a.lastRequestAt = now
	reply.Granted = true
	return reply
}

// isEntitled reports whether the term gives the requested rank to the requesting
// holder.
func (a *authority) isEntitled(request PromiseRequest) bool {
	if request.Rank == 0 {
		return a.term.Coordinator == request.Holder
	}
	return int(request.Rank) <= len(a.term.Candidates) && a.term.Candidates[request.Rank-1] == request.Holder
}

// receivePromise applies the reply to a promise request.
func (a *authority) receivePromise(m PromiseDone) {
	a.peerOffsets[m.From] = max(a.peerOffsets[m.From], m.Reply.Offset)
	if !m.Reply.Granted || m.Reply.Term != m.Request.Term {
		return
	}
	a.receivedUntil[m.From] = max(a.receivedUntil[m.From], m.Sent.Add(core.MinusDrift(core.PromiseLease)))
	if m.Request.Term == a.term.Number {
		a.acknowledged[m.From] = true
	}
}

func (a *authority) hasPromise(now core.Instant, vm core.VM) bool {
	return now.Before(a.receivedUntil[vm])
}

// countPromises counts the valid promises of a set of VMs, without this VM.
func (a *authority) countPromises(now core.Instant, set []core.VM) int {
	n := 0
	for _, vm := range set {
		if vm != a.self && a.hasPromise(now, vm) {
			n++
		}
	}
	return n
}

// replacesOtherCoordinator reports whether the previous term had another
// coordinator.
func (a *authority) replacesOtherCoordinator() bool {
	return a.term.PreviousNumber != 0 && a.term.PreviousCoordinator != a.self
}

// previousTermClosed reports whether no holder of the previous term can make
// further decisions. Earlier decisions may still take effect.
func (a *authority) previousTermClosed(now core.Instant) bool {
	t := a.term
	if t.PreviousNumber == 0 {
		return true
	}
	if t.PreviousCoordinator == t.Coordinator {
		// Once one candidate knows the term, no other candidate can get all
		// promises. A sole candidate never acts without a term of its own.
		return len(t.PreviousCandidates) < 2 || slices.ContainsFunc(t.PreviousCandidates, a.knowsTerm)
	}
	if len(t.PreviousCandidates) == 1 {
		// The writer's promise had expired, so the previous coordinator depends
		// on the log.
		return a.knowsTerm(t.PreviousCoordinator) || a.logLeaseExpired(now)
	}
	return !slices.ContainsFunc(t.PreviousCandidates, func(vm core.VM) bool { return !a.knowsTerm(vm) })
}

// knowsTerm reports whether a VM knows the current term. That includes the
// writer, which had no valid promise to another holder when it wrote the term.
func (a *authority) knowsTerm(vm core.VM) bool {
	return vm == a.self || vm == a.term.Coordinator || a.acknowledged[vm]
}

// candidateSets returns the sets of candidates that may replace this holder:
// those of a pending term, those of the current term if this VM is its
// coordinator, and those of the previous term until it is closed if this VM was
// its coordinator, too.
func (a *authority) candidateSets(now core.Instant) [][]core.VM {
	var out [][]core.VM
	if a.pending != nil {
		out = append(out, a.pending.record.Candidates)
	}
	if !a.isCoordinator() {
		return out
	}
	out = append(out, a.term.Candidates)
	if !a.replacesOtherCoordinator() && !a.previousTermClosed(now) {
		out = append(out, a.term.PreviousCandidates)
	}
	return out
}

// hasKeepRight reports whether this VM may take conditional actions: orders that
// a target accepts or rejects by their fencing token.
func (a *authority) hasKeepRight(now core.Instant) bool {
	switch {
	case a.superseded || !a.hasTerm:
		return false
	case !a.isCoordinator() && (!a.acting || a.countPromises(now, a.term.Candidates) < len(a.term.Candidates)-1):
		return false
	case a.isCoordinator() && (!a.ownTerm || a.replacesOtherCoordinator() && !a.predecessorLostMoveRight(now)):
		return false
	}
	for _, set := range a.candidateSets(now) {
		// A sole candidate needs no promise to write a term of its own, so only
		// a fresh log or its promise proves that it has not.
		if n := a.countPromises(now, set); n == 0 && (len(set) >= 2 || len(set) == 1 && !a.logFresh(now)) {
			return false
		}
	}
	return true
}

// predecessorLostMoveRight reports whether the previous coordinator has lost the
// move right: it has no valid promise left, or its log lease has expired.
func (a *authority) predecessorLostMoveRight(now core.Instant) bool {
	if a.previousTermClosed(now) || a.logLeaseExpired(now) {
		return true
	}
	others := len(a.term.PreviousCandidates) - 1
	return others > 0 && a.countPromises(now, a.term.PreviousCandidates) == others
}

// logLeaseExpired reports whether the log lease has expired for every read that
// was started before the current term was in the log.
func (a *authority) logLeaseExpired(now core.Instant) bool {
	return !now.Before(a.termLearnedAt.Add(core.PlusDrift(core.LogLease)))
}

// hasMoveRight reports whether this VM may take time-based actions, such as
// reassigning the ranges of a target whose grant has expired.
func (a *authority) hasMoveRight(now core.Instant) bool {
	if !a.hasKeepRight(now) {
		return false
	}
	isFirstTerm := a.term.PreviousNumber == 0 && a.isCoordinator() && !a.interrupted
	if !isFirstTerm && now.Before(a.holdingSince.Add(takeOverDelay)) {
		return false
	}
	// This VM may have gained the keep right through the log alone, while the
	// predecessor still had its own through a promise.
	if a.isCoordinator() && a.replacesOtherCoordinator() &&
		(a.previousClosedAt == 0 || now.Before(a.previousClosedAt.Add(takeOverDelay)) || !a.logLeaseExpired(now)) {
		return false
	}
	for _, set := range a.candidateSets(now) {
		n := a.countPromises(now, set)
		if n < len(set) && (!a.logFresh(now) || len(set) >= 2 && n == 0) {
			return false
		}
	}
	return true
}

// sincePromiseRequest returns the time since a holder last requested a promise.
func (a *authority) sincePromiseRequest(now core.Instant) time.Duration {
	return now.Sub(a.lastRequestAt)
}
