package coordinate

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/membership"
	"celeryhook.example/celeryhook/internal/policy"
)

const (
	// inspectTimeout is how long a new holder waits for all targets before it
	// publishes a map. An inspect order that takes longer has timed out.
	inspectTimeout = 300 * time.Millisecond
	// inspectInterval is the interval between inspects of an unresponsive target.
	inspectInterval = 300 * time.Millisecond
	// avoidDuration is how long a VM that could not reach a target is not chosen
	// as its front.
	avoidDuration = 10 * time.Second
	// policyPropagationDelay is how long after the removal of a target from the
	// policy its grant may be renewed. A reachable VM has the current policy
	// within 7 s.
	policyPropagationDelay = 7 * time.Second
)

// holder is the state of a VM while it has the keep right.
type holder struct {
	role      core.Token
	startedAt core.Instant
	// fencingToken is the token of the first inspects.
	fencingToken core.Token
	// ready is set once all targets are fenced or inspectTimeout has passed.
	ready bool
	// wake requests a run before the next tick, dirty a new map.
	wake, dirty bool
	version     core.Token
	targets     map[core.Target]*targetState
	ranges      map[core.RangeID]*rangeState
	reports     map[core.VM]lastReport
	balance     balanceState
	release     pendingRelease
}

// targetState is a holder's state of a target.
type targetState struct {
	id      core.Target
	policy  policy.Target
	removed core.Instant // when it was removed from the policy, 0 if it was not
	// added is set if the target was added to the policy after the takeover, so
	// no earlier holder assigned ranges to it.
	added bool

	front core.VM
	// frontIncarnation is that of the front's process, 0 if unknown.
	frontIncarnation uint64
	witnesses        []core.VM
	previous         []core.VM
	previousAt       core.Instant
	// previousSince is the smallest token for which the VMs in previous hold all
	// request ids from before the last change of front.
	previousSince core.Token
	incarnation   uint64
	// token is that of the last published assignment, and lastIssue its content.
	token     core.Token
	lastIssue issuedAssignment
	// reissue forces a new token although the assignment is unchanged.
	reissue bool

	// fenced is set once the target has accepted this holder's fencing token.
	// Until then a front of an earlier holder may renew its grant.
	fenced        bool
	nextInspectAt core.Instant
	// renewers maps the VMs that may renew the grant with this holder's tokens
	// to their incarnations. otherGrantsEndAt is when the grants of all other VMs
	// have ended.
	renewers         map[core.VM]uint64
	otherGrantsEndAt core.Instant
	// lost is set while the front reports that it has lost the target.
	lost bool
	// oldRequestsEndAt is when all requests of an earlier front have ended.
	oldRequestsEndAt core.Instant

	confirmed       core.Token
	confirmedRanges []core.RangeID
	avoidUntil      map[core.VM]core.Instant
	draining        bool
	load            core.TargetLoad
	loadAt          core.Instant
}

// issuedAssignment is the part of an assignment that a token identifies.
type issuedAssignment struct {
	front       core.VM
	incarnation uint64
	witnesses   []core.VM
	serving     []core.RangeID
	moving      map[core.RangeID]bool
}

// rangeState is a holder's state of a range.
type rangeState struct {
	// target is the target that holds the range, empty if none does.
	target core.Target
	// assumed is the target in an earlier holder's map. It is not used for
	// decisions, because that holder may have moved the range since.
	assumed core.Target
	moving  bool
	// held is set once this holder knows or has decided that a target of this
	// failure domain holds the range, so that no other failure domain owns it.
	held bool
	// to is the destination of a moving range, empty if the range leaves the
	// failure domain.
	to core.Target
	// memoryAt are the VMs that store its request ids from before its last move.
	memoryAt []core.VM
	// memorySince is the smallest token for which the VMs in memoryAt store all
	// request ids.
	memorySince core.Token
	// servedUnder is the token of the last assignment under which it was served.
	servedUnder core.Token
	// firstFor is the incarnation of the first front that ever serves the range.
	firstFor uint64
	movedAt  core.Instant
	// createdIn is the version of the first map with the range. coolSince is
	// when its load fell below the limit. Both are used for hot keys only.
	createdIn core.Token
	coolSince core.Instant
}

type lastReport struct {
	incarnation, sequence uint64
	version               core.Token
	// at is when this holder last accepted a report from the VM.
	at core.Instant
}

// takeOver returns the state of a new holder. It knows only the last map received
// and inspects every target to learn which ranges the target holds.
func (c *Coordinator) takeOver(now core.Instant, role core.Token) *holder {
	h := &holder{
		role: role, startedAt: now, wake: true,
		fencingToken: core.Token{Term: role.Term, Rank: role.Rank, Seq: c.lastSeq},
		targets:      make(map[core.Target]*targetState),
		ranges:       make(map[core.RangeID]*rangeState),
		reports:      make(map[core.VM]lastReport),
	}
	c.holder = h
	c.applyPolicy(now)
	if c.currentMap == nil {
		return h
	}
	for id, ts := range h.targets {
		a := c.currentMap.Targets[id]
		ts.front, ts.frontIncarnation, ts.token = a.Front, a.FrontIncarnation, a.Token
		ts.witnesses, ts.previous, ts.previousAt, ts.previousSince = a.Witnesses, a.Previous, now, a.PreviousSince
	}
	for id, a := range c.currentMap.Ranges {
		r := h.ranges[id]
		if r == nil {
			r = &rangeState{}
			h.ranges[id] = r
		}
		r.assumed, r.memoryAt, r.memorySince, r.movedAt = a.Target, a.MemoryAt, a.MemorySince, now
	}
	return h
}

// applyPolicy updates the targets and ranges to match the policy.
func (c *Coordinator) applyPolicy(now core.Instant) {
	h := c.holder
	h.wake, h.dirty = true, true
	for id, t := range c.policy.Targets {
		if t.FailureDomain != c.domain {
			continue
		}
		ts := h.targets[id]
		if ts == nil {
			ts = &targetState{id: id, added: h.ready, renewers: make(map[core.VM]uint64), avoidUntil: make(map[core.VM]core.Instant)}
			h.targets[id] = ts
		}
		ts.policy, ts.removed = t, 0
	}
	for id, ts := range h.targets {
		if _, ok := c.policy.Targets[id]; !ok && ts.removed == 0 {
			ts.removed = now
		}
	}
	for id := range c.homeRanges {
		if h.ranges[id] == nil {
			h.ranges[id] = &rangeState{}
		}
	}
}

// handleViewChanged handles VMs whose process was replaced: the grants that the
// old process may have renewed expire.
func (h *holder) handleViewChanged(now core.Instant, v membership.View) {
	h.wake = true
	for _, ts := range h.targets {
		for vm, incarnation := range ts.renewers {
			m := v.Members[vm]
			if m.Incarnation <= incarnation {
				continue
			}
			delete(ts.renewers, vm)
			ts.otherGrantsEndAt = max(ts.otherGrantsEndAt, now.Add(core.PlusDrift(core.GrantLease)))
			ts.oldRequestsEndAt = max(ts.oldRequestsEndAt, ts.otherGrantsEndAt)
			// The new process may renew the grant if its VM is the current front
			// or if it already gets confirmations from this holder.
			if vm == ts.front || h.reports[vm].incarnation == m.Incarnation {
				ts.renewers[vm] = m.Incarnation
			}
		}
	}
}

// runHolder makes all decisions that are due. It requires the keep right.
func (c *Coordinator) runHolder(now core.Instant) {
	h := c.holder
	c.requestDomainPromises(now)
	c.inspect(now)
	if !h.ready {
		h.ready = now.Sub(h.startedAt) >= inspectTimeout || h.allFenced()
		if !h.ready {
			return
		}
		h.dirty = true
	}
	c.assignFronts(now)
	c.freeLostTargets(now)
	c.releaseForeignRanges()
	c.finishMoves(now)
	c.assignFreeRanges(now)
	c.moveOffLeavingTargets(now)
	c.balanceLoad(now)
	c.finishRelease(now)
	if h.dirty {
		h.dirty = false
		c.publish(now)
	}
}

func (h *holder) allFenced() bool {
	for _, ts := range h.targets {
		if !ts.fenced {
			return false
		}
	}
	return true
}

func (h *holder) sortedTargets() []*targetState {
	out := make([]*targetState, 0, len(h.targets))
	for _, ts := range h.targets {
		out = append(out, ts)
	}
	slices.SortFunc(out, func(a, b *targetState) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return out
}

// sortedRanges returns the ids of the ranges that include selects, in order.
func (h *holder) sortedRanges(include func(*rangeState) bool) []core.RangeID {
	var out []core.RangeID
	for id, r := range h.ranges {
		if include(r) {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, core.RangeID.Compare)
	return out
}
