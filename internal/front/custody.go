package front

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/witness"
)

const (
	// recallPause is the pause between questions to a VM that did not answer.
	recallPause = 100 * time.Millisecond
	// recallPatience is how long a front waits for VMs that do not answer before
	// it treats their memory as lost: a paused VM is often back in that time.
	recallPatience = 2 * time.Second
	// clockBound is how far the wall clocks of callers and VMs may differ.
	clockBound = 5 * time.Second
)

// custody is the state of this front's memory of one range.
type custody struct {
	// ready is set once the memory is complete, but for a gap.
	ready bool
	// left is when the range was given up, 0 while it is this VM's.
	left    core.Instant
	began   core.Instant
	sources []source
	asking  bool
	// Requests from before gapEnd may be missing; at gapUntil those have been
	// forgotten anyway. Both are 0 without a gap.
	gapEnd, gapUntil core.Instant
	// suspect is set when the target did not honour the grant with token any
	// more: another front may have had the range since.
	suspect bool
	token   core.Token
}

// source is a VM that may hold the range's request ids.
type source struct {
	vm core.VM
	// asked is the number of the question under way, 0 if there is none.
	asked uint64
	// lacking is set once the VM said that its memory is not complete.
	lacking bool
	// base is set once the memory of a hot key's numbered range was asked for.
	base    bool
	retryAt core.Instant
}

// memoryState says what this front knows of a request id.
type memoryState uint8

const (
	proven memoryState = iota
	recalling
	inGap
)

// memoryOf reports whether the memory of a request's range is complete as far
// as the request's id is concerned.
func (f *Front) memoryOf(now core.Instant, m Submit) memoryState {
	c := f.custody[m.Request.Range]
	switch {
	case c == nil || !c.ready || c.suspect || c.left != 0:
		return recalling
	case c.gapUntil == 0 || !now.Before(c.gapUntil):
		return proven
	}
	made, ok := timeOfID(m.Request.ID)
	gapEnd := m.Wall.Add(-core.Shorten(now.Sub(c.gapEnd)))
	if ok && made.After(gapEnd.Add(clockBound)) {
		return proven
	}
	return inGap
}

// assignCustody begins and ends the custody of ranges by a new assignment.
func (f *Front) assignCustody(now core.Instant) {
	mine := make(map[core.RangeID]struct{})
	for _, t := range f.targets {
		for id, r := range t.assignment.Ranges {
			mine[id] = struct{}{}
			f.assignRange(id, sourcesOf(t.assignment, r))
		}
	}
	for id, c := range f.custody {
		if _, ok := mine[id]; !ok && c.left == 0 {
			c.left = now
		}
	}
}

func sourcesOf(a Assignment, r Range) []core.VM {
	if len(r.MemoryAt) > 0 {
		return r.MemoryAt
	}
	return a.Previous
}

// assignRange decides whether the memory of a range must be recalled: if the
// range is new here, or the map names VMs that were not asked. A range that
// moves between two targets of this front stays in its custody.
func (f *Front) assignRange(id core.RangeID, from []core.VM) {
	c := f.custody[id]
	switch {
	case c == nil || c.left != 0:
	case c.knows(from):
		return
	case c.ready && slices.Contains(from, f.vm):
		c.sources = sourceList(from)
		return
	}
	f.custody[id] = &custody{sources: sourceList(from)}
}

func sourceList(vms []core.VM) []source {
	out := make([]source, len(vms))
	for i, vm := range vms {
		out[i].vm = vm
	}
	return out
}

func (c *custody) knows(vms []core.VM) bool {
	for _, vm := range vms {
		if !slices.ContainsFunc(c.sources, func(s source) bool { return s.vm == vm }) {
			return false
		}
	}
	return true
}

// interrupt notes that the target does not honour the grant any more.
func (f *Front) interrupt(t *target) {
	for id := range t.assignment.Ranges {
		if c := f.custody[id]; c != nil && c.ready {
			c.suspect, c.token = true, t.view.Token
		}
	}
}

// startRecalls begins to recall the memory of ranges whose grant is confirmed.
// Before that the earlier front could still send requests.
func (f *Front) startRecalls(now core.Instant, t *target) {
	if !now.Before(t.view.HeldUntil) || t.view.Token != t.assignment.Token {
		return
	}
	number := f.number()
	ask := make(map[core.VM][]core.RangeID)
	if t.ramp.provisional && !t.rampAsked {
		t.rampAsked = true
		for _, vm := range t.assignment.Previous {
			ask[vm] = nil
		}
	}
	for id := range t.assignment.Ranges {
		c := f.custody[id]
		if _, ok := t.granted[id]; !ok || c == nil {
			continue
		}
		c.recheck(t.view.Token)
		if c.ready || c.asking {
			continue
		}
		c.asking, c.began = true, now
		for i := range c.sources {
			c.sources[i].asked = number
			ask[c.sources[i].vm] = append(ask[c.sources[i].vm], id)
		}
		f.conclude(now, t, c)
	}
	for vm, ranges := range ask {
		slices.SortFunc(ranges, core.RangeID.Compare)
		f.emit(Recall{Target: t.id, From: vm, Number: number, Ranges: ranges})
	}
}

// recheck clears a suspicion if the target took the same token again: with
// another front in between it would have refused it.
func (c *custody) recheck(token core.Token) {
	if !c.suspect {
		return
	}
	c.suspect = false
	if token != c.token {
		c.ready, c.asking = false, false
		c.sources = sourceList(c.vms())
	}
}

func (c *custody) vms() []core.VM {
	out := make([]core.VM, len(c.sources))
	for i, s := range c.sources {
		out[i] = s.vm
	}
	return out
}

func (f *Front) stepRecalled(now core.Instant, m Recalled) {
	for _, r := range m.Memory.Records {
		// Without room for a record the memory would lack it.
		m.Failed = !f.memory.Put(now, r) || m.Failed
	}
	t := f.targets[m.Target]
	if t == nil {
		return
	}
	if !m.Failed && m.Memory.Incarnation == t.view.Incarnation {
		t.ramp.recorded(m.Memory.RampLimit)
	}
	for _, id := range m.Ranges {
		f.recalledRange(now, t, id, m)
	}
	f.replace(now, t)
	f.flushLinks(now, t)
}

func (f *Front) recalledRange(now core.Instant, t *target, asked core.RangeID, m Recalled) {
	for id, c := range f.custody {
		if id != asked && t.assignment.Ranges[id].Base != asked || !c.asking || c.ready {
			continue
		}
		i := slices.IndexFunc(c.sources, func(s source) bool { return s.vm == m.From && s.asked == m.Number })
		if i < 0 {
			continue
		}
		s := &c.sources[i]
		s.asked = 0
		switch {
		case m.Failed:
			s.retryAt = now.Add(recallPause)
		case m.Memory.Complete:
			t.ready(id, c)
		case len(m.Ranges) > 1:
			// One range may spoil the answer for all; ask for each alone.
			f.ask(t, s, id)
		case id.HotKey != 0 && !s.base:
			s.base = true
			f.ask(t, s, t.assignment.Ranges[id].Base)
		default:
			s.lacking = true
		}
		f.conclude(now, t, c)
	}
}

// ask asks one source for the memory of one range.
func (f *Front) ask(t *target, s *source, id core.RangeID) {
	s.asked = f.number()
	f.emit(Recall{Target: t.id, From: s.vm, Number: s.asked, Ranges: []core.RangeID{id}})
}

// ready ends the recall of a range, whose records then go to the witnesses.
func (t *target) ready(id core.RangeID, c *custody) {
	c.ready, c.asking = true, false
	t.uncovered = append(t.uncovered, id)
}

// coverNew notes the ranges that came from another target of this front.
func (f *Front) coverNew(t *target, before map[core.RangeID]Range) {
	for id := range t.assignment.Ranges {
		if _, ok := before[id]; !ok && f.covered(id) {
			t.uncovered = append(t.uncovered, id)
		}
	}
}

// conclude declares a gap once no source is left that may have the memory.
func (f *Front) conclude(now core.Instant, t *target, c *custody) {
	if c.ready || !c.asking {
		return
	}
	for _, s := range c.sources {
		if !s.lacking && now.Sub(c.began) < recallPatience {
			return
		}
	}
	c.ready, c.asking = true, false
	c.gapEnd, c.gapUntil = c.began, c.began.Add(core.Lengthen(f.remember))
}

// tickCustody asks silent sources again, ends gaps and forgets old custody.
func (f *Front) tickCustody(now core.Instant) {
	for id, c := range f.custody {
		if c.left != 0 && now.Sub(c.left) >= f.remember {
			delete(f.custody, id)
		}
	}
	for _, t := range f.targets {
		changed := false
		for id := range t.assignment.Ranges {
			if c := f.custody[id]; c != nil && c.left == 0 {
				changed = f.tickRange(now, t, id, c) || changed
			}
		}
		if changed {
			f.replace(now, t)
		}
	}
}

// tickRange reports whether the memory of the range has become usable.
func (f *Front) tickRange(now core.Instant, t *target, id core.RangeID, c *custody) bool {
	if c.ready {
		if c.gapUntil != 0 && !now.Before(c.gapUntil) {
			c.gapEnd, c.gapUntil = 0, 0
			t.ready(id, c)
		}
		return false
	}
	if !c.asking {
		return false
	}
	for i := range c.sources {
		if s := &c.sources[i]; s.asked == 0 && !s.lacking && !now.Before(s.retryAt) {
			f.ask(t, s, id)
		}
	}
	f.conclude(now, t, c)
	return c.ready
}

// covered reports whether this front's memory of a range has no gap.
func (f *Front) covered(id core.RangeID) bool {
	c := f.custody[id]
	return c != nil && c.ready && !c.suspect && c.gapUntil == 0
}

// tell answers another front's question with this front's own memory.
func (f *Front) tell(now core.Instant, m Tell) witness.Memory {
	out := witness.Memory{Complete: true}
	for _, id := range m.Ranges {
		out.Complete = out.Complete && f.covered(id)
	}
	out.Records = f.memory.Select(now, func(held core.RangeID) bool {
		return slices.ContainsFunc(m.Ranges, func(asked core.RangeID) bool { return witness.Covers(held, asked) })
	})
	if t := f.targets[m.Target]; t != nil {
		out.RampLimit, out.Incarnation = t.ramp.limit, t.view.Incarnation
	}
	return out
}
