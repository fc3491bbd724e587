package coordinate

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/membership"
	"celeryhook.example/celeryhook/internal/policy"
)

const (
	// inspectWait is how long a new holder waits for all targets before it
	// publishes: an inspect under way for longer has timed out.
	inspectWait = 300 * time.Millisecond
	// inspectInterval is the pause between inspects of a silent target.
	inspectInterval = 300 * time.Millisecond
	// avoidFor is how long a VM that could not reach a target is not its front.
	avoidFor = 10 * time.Second
	// removalWait is how long after its removal from the policy a target's grant
	// may be extended: a reachable VM has the policy in force within 7 s.
	removalWait = 7 * time.Second
)

// holder is what a VM knows while it holds the keep right.
type holder struct {
	role  core.Token
	began core.Instant
	// fence is the token of the first inspects.
	fence core.Token
	// ready is set once the targets have been inspected.
	ready bool
	// wake asks for decisions before the next tick; dirty for a new map.
	wake, dirty bool
	version     core.Token
	targets     map[core.Target]*targetState
	ranges      map[core.RangeID]*rangeState
	reports     map[core.VM]reportMark
	balance     balance
	release     release
}

// targetState is what a holder knows of a target.
type targetState struct {
	id      core.Target
	policy  policy.Target
	removed core.Instant // when the policy dropped it, 0 if it did not
	// added is set if the policy named the target only after the take-over, so
	// that no earlier holder gave it ranges.
	added bool

	front core.VM
	// frontIncarnation is that of the front's process, 0 if it isn't known.
	frontIncarnation uint64
	witnesses        []core.VM
	previous         []core.VM
	previousAt       core.Instant
	// previousSince is the least token of a complete memory of request ids from
	// before the last change of front.
	previousSince core.Token
	incarnation   uint64
	// token is that of the assignment published last, issued what it gave.
	token  core.Token
	issued issue
	// reissue asks for a new token although the assignment is the same.
	reissue bool

	// fenced is set once the target has taken this holder's token. Before that
	// a front of an earlier holder may extend its grant.
	fenced    bool
	inspectAt core.Instant
	// extenders are the VMs, by incarnation, that may extend the grant with
	// this holder's tokens; ends is when the grants of all others have ended.
	extenders map[core.VM]uint64
	ends      core.Instant
	// lost is set while the front reports the target as lost.
	lost bool
	// quietAt is when the requests of an earlier front have ended.
	quietAt core.Instant

	confirmed       core.Token
	confirmedRanges []core.RangeID
	avoid           map[core.VM]core.Instant
	draining        bool
	load            core.TargetLoad
	loadAt          core.Instant
}

// issue is the part of an assignment that a token stands for.
type issue struct {
	front       core.VM
	incarnation uint64
	witnesses   []core.VM
	serving     []core.RangeID
	moving      map[core.RangeID]bool
}

// rangeState is what a holder knows of a range.
type rangeState struct {
	// target holds the range; it is empty if no target does.
	target core.Target
	// assumed is the target that an earlier holder's map names. It is not used
	// for decisions, as that holder may have moved the range since.
	assumed core.Target
	moving  bool
	// held is set once this holder knew a target to hold the range, which
	// proves that it is this failure domain's.
	held bool
	// to is where a moving range goes; empty if it leaves the failure domain.
	to core.Target
	// memoryAt are the VMs that hold its request ids from before its last move.
	memoryAt []core.VM
	// memorySince is the least token of a complete memory at memoryAt.
	memorySince core.Token
	// served is the token of the last assignment under which it was served.
	served core.Token
	// firstFor is the front's incarnation that serves the range as the first ever.
	firstFor uint64
	movedAt  core.Instant
	// created is the first map with this hot key, coolSince since when it is
	// not hot any more; both are of use for hot keys only.
	created   core.Token
	coolSince core.Instant
}

type reportMark struct {
	incarnation, sequence uint64
	version               core.Token
	// at is when this holder last accepted a report of the VM.
	at core.Instant
}

// takeOver begins holding: nothing is known but the map that was heard last,
// and every target is asked what it holds.
func (c *Coordinator) takeOver(now core.Instant, role core.Token) *holder {
	h := &holder{
		role: role, began: now, wake: true,
		fence:   core.Token{Term: role.Term, Rank: role.Rank, Seq: c.seq},
		targets: make(map[core.Target]*targetState),
		ranges:  make(map[core.RangeID]*rangeState),
		reports: make(map[core.VM]reportMark),
	}
	c.holder = h
	c.policyChanged(now)
	if c.current == nil {
		return h
	}
	for id, x := range h.targets {
		a := c.current.Targets[id]
		x.front, x.frontIncarnation, x.token = a.Front, a.FrontIncarnation, a.Token
		x.witnesses, x.previous, x.previousAt, x.previousSince = a.Witnesses, a.Previous, now, a.PreviousSince
	}
	for id, a := range c.current.Ranges {
		r := h.ranges[id]
		if r == nil {
			r = &rangeState{}
			h.ranges[id] = r
		}
		r.assumed, r.memoryAt, r.memorySince, r.movedAt = a.Target, a.MemoryAt, a.MemorySince, now
	}
	return h
}

// policyChanged brings targets and ranges in line with the policy.
func (c *Coordinator) policyChanged(now core.Instant) {
	h := c.holder
	h.wake, h.dirty = true, true
	for id, t := range c.policy.Targets {
		if t.FailureDomain != c.domain {
			continue
		}
		x := h.targets[id]
		if x == nil {
			x = &targetState{id: id, added: h.ready, extenders: make(map[core.VM]uint64), avoid: make(map[core.VM]core.Instant)}
			h.targets[id] = x
		}
		x.policy, x.removed = t, 0
	}
	for id, x := range h.targets {
		if _, ok := c.policy.Targets[id]; !ok && x.removed == 0 {
			x.removed = now
		}
	}
	for id := range c.homed {
		if h.ranges[id] == nil {
			h.ranges[id] = &rangeState{}
		}
	}
}

// viewChanged notes VMs that were replaced: what they may extend has an end.
func (h *holder) viewChanged(now core.Instant, v membership.View) {
	h.wake = true
	for _, x := range h.targets {
		for vm, incarnation := range x.extenders {
			m := v.Members[vm]
			if m.Incarnation <= incarnation {
				continue
			}
			delete(x.extenders, vm)
			x.ends = max(x.ends, now.Add(core.PlusDrift(core.GrantLease)))
			x.quietAt = max(x.quietAt, x.ends)
			// The new process may act on the assignment if it is the present
			// one or if this holder has confirmed its map to it already.
			if vm == x.front || h.reports[vm].incarnation == m.Incarnation {
				x.extenders[vm] = m.Incarnation
			}
		}
	}
}

// hold decides what is due. It runs only with the keep right.
func (c *Coordinator) hold(now core.Instant) {
	h := c.holder
	c.askDomains(now)
	c.inspect(now)
	if !h.ready {
		h.ready = now.Sub(h.began) >= inspectWait || h.allFenced()
		if !h.ready {
			return
		}
		h.dirty = true
	}
	c.chooseFronts(now)
	c.endLost(now)
	c.releaseAway()
	c.finishMoves(now)
	c.assignFree(now)
	c.leaveTargets(now)
	c.balanceLoad(now)
	c.finishRelease(now)
	if h.dirty {
		h.dirty = false
		c.publish(now)
	}
}

func (h *holder) allFenced() bool {
	for _, x := range h.targets {
		if !x.fenced {
			return false
		}
	}
	return true
}

func (h *holder) sortedTargets() []*targetState {
	out := make([]*targetState, 0, len(h.targets))
	for _, x := range h.targets {
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b *targetState) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return out
}

// sortedRanges returns the ranges for which keep reports true, in order.
func (h *holder) sortedRanges(keep func(*rangeState) bool) []core.RangeID {
	var out []core.RangeID
	for id, r := range h.ranges {
		if keep(r) {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, core.RangeID.Compare)
	return out
}
