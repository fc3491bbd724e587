package ownership

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

type stage uint8

const (
	releasing stage = iota
	granting
	done
)

// task is a move that the ledger holds: a row of units whose previous holder
// must have ended before the owner gets them.
type task struct {
	id       TaskID
	to       int
	owner    Holder
	previous Holder
	stage    stage
	created  core.Instant
	// offset is the end of the ledger when the task was made; a VM that has
	// applied it renews nothing for the previous holder.
	offset   int64
	handover string
	// busy is set while an order is under way.
	busy    bool
	retryAt core.Instant
	grants  int
	// finished is when the owner got the units.
	finished core.Instant
	// unreachable is set once the previous holder gave no answer.
	unreachable bool
	askedAt     core.Instant
	// heldUntil is by when the previous holder's grant has ended, as far as the
	// members have said.
	heldUntil core.Instant
	answered  map[core.VM]bool
}

// syncTasks makes a task of each moving row and drops those that are over.
func (a *Assigner) syncTasks(now core.Instant) {
	live := make(map[TaskID]bool)
	for s, cells := range a.ledger.Services {
		for u := 0; u < Units; u++ {
			c := cells[u]
			if !c.Moving() {
				continue
			}
			to := u
			for to+1 < Units && cells[to+1] == c {
				to++
			}
			id := TaskID{Service: s, From: u, Fence: c.Fence}
			live[id] = true
			if _, ok := a.tasks[id]; !ok && len(a.tasks) < maxTasks {
				a.tasks[id] = &task{
					id: id, to: to, owner: c.Owner, previous: c.Previous, created: now, offset: a.ledger.Next,
					answered: make(map[core.VM]bool),
				}
			}
			u = to
		}
	}
	for id := range a.tasks {
		if !live[id] {
			delete(a.tasks, id)
		}
	}
}

func (a *Assigner) runTasks(now core.Instant) []Output {
	a.syncTasks(now)
	var out []Output
	for _, t := range a.tasks {
		out = append(out, a.runTask(now, t)...)
	}
	return out
}

func (a *Assigner) runTask(now core.Instant, t *task) []Output {
	var out []Output
	if t.stage == releasing && a.ended(now, t) {
		t.stage, t.busy = granting, false
	}
	if t.stage == releasing && t.unreachable && now.Sub(t.askedAt) >= retrySettle {
		t.askedAt = now
		out = append(out, Settle{Task: t.id, Target: t.previous.Target, Offset: t.offset, Members: a.members.All()})
	}
	if t.busy || now.Before(t.retryAt) {
		return out
	}
	switch t.stage {
	case releasing:
		t.busy = true
		return append(out, Release{Task: t.id, Holder: t.previous, From: t.id.From, To: t.to, Fence: t.id.Fence})
	case granting:
		t.busy = true
		t.grants++
		return append(out, Grant{Task: t.id, Holder: t.owner, From: t.id.From, To: t.to, Fence: t.id.Fence, Handover: t.handover})
	}
	return out
}

// ended reports whether the previous holder provably holds nothing more: its
// process was replaced, or no grant of any VM can have lasted so long.
func (a *Assigner) ended(now core.Instant, t *task) bool {
	if next, ok := a.targets.Targets[t.previous.Target]; ok && next.Born > t.previous.Born {
		return true
	}
	if now.Sub(t.created) > MaxStale+HoldOnAnyClock()+staleError {
		return true
	}
	if !t.unreachable || t.heldUntil == 0 || now.Before(t.heldUntil) {
		return false
	}
	for _, m := range a.members.All() {
		if !t.answered[m.VM] {
			return false
		}
	}
	return true
}

func (a *Assigner) released(now core.Instant, m Released) []Output {
	t, ok := a.tasks[m.Task]
	if !ok || t.stage != releasing {
		return nil
	}
	t.busy = false
	if m.Outcome == ReleaseUnknown {
		t.retryAt = now.Add(retryOrder)
		if t.unreachable {
			return nil
		}
		t.unreachable = true
		return []Output{Event{Text: "holder of moving keys doesn't answer", Fields: t.fields()}}
	}
	t.stage, t.handover = granting, m.Handover
	return nil
}

func (a *Assigner) granted(now core.Instant, m Granted) []Output {
	t, ok := a.tasks[m.Task]
	if !ok || t.stage != granting {
		return nil
	}
	t.busy = false
	if !m.OK && t.grants < maxGrants {
		t.retryAt = now.Add(retryOrder)
		return nil
	}
	t.stage, t.finished = done, now
	return []Output{Event{Text: "keys moved", Fields: append(t.fields(), "granted", m.OK, "handover", t.handover != "", "took_ms", now.Sub(t.created).Milliseconds())}}
}

func (a *Assigner) settled(now core.Instant, m Settled) []Output {
	t, ok := a.tasks[m.Task]
	if !ok || t.stage != releasing || !m.Applied || t.answered[m.VM] {
		return nil
	}
	t.answered[m.VM] = true
	t.heldUntil = max(t.heldUntil, now.Add(max(m.Remaining, time.Millisecond)))
	return nil
}

func (t *task) fields() []any {
	return []any{
		"service", t.id.Service, "from_unit", t.id.From, "to_unit", t.to, "fence", t.id.Fence,
		"previous", t.previous.Target, "owner", t.owner.Target,
	}
}

// settledCells returns the units of finished moves without their previous
// holder, once the moves that run beside them had time to finish too.
func (a *Assigner) settledCells(now core.Instant) []change {
	var out []change
	if !a.settleDue(now) {
		return nil
	}
	for _, t := range a.tasks {
		if t.stage != done {
			continue
		}
		for u := t.id.From; u <= t.to; u++ {
			out = append(out, change{service: t.id.Service, unit: u, cell: Cell{Owner: t.owner, Fence: t.id.Fence}})
		}
	}
	return out
}

// settleDue reports whether finished moves are to be written: when none is
// left to wait for, or the first has waited for settleDelay.
func (a *Assigner) settleDue(now core.Instant) bool {
	running := false
	for _, t := range a.tasks {
		if t.stage == done && now.Sub(t.finished) >= settleDelay {
			return true
		}
		running = running || t.stage != done
	}
	return !running
}
