package front

import (
	"cmp"
	"maps"
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
	// since is the least token of a memory that counts as complete.
	since  core.Token
	asking bool
	// Requests from before gapEnd may be missing; at gapUntil those have been
	// forgotten anyway. Both are 0 without a gap.
	gapEnd, gapUntil core.Instant
	// token is the last one with which the target confirmed the range here.
	token core.Token
	// suspect is set when the target did not honour that token any more:
	// another front may have had the range since.
	suspect bool
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
	gapEnd := m.Wall.Add(-core.MinusDrift(now.Sub(c.gapEnd)))
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
			f.assignRange(id, r, custodyFrom(t.assignment, r))
		}
	}
	for id, c := range f.custody {
		if _, ok := mine[id]; !ok && c.left == 0 {
			c.left = now
		}
	}
}

// custodyFrom returns a custody that has yet to recall its memory from the VMs
// that the map names.
func custodyFrom(a Assignment, r Range) *custody {
	switch {
	case len(r.MemoryAt) > 0:
		return &custody{sources: sourceList(r.MemoryAt), since: r.MemorySince}
	case r.First:
		return &custody{ready: true}
	}
	return &custody{sources: sourceList(a.Previous), since: a.PreviousSince}
}

// assignRange decides whether the memory of a range must be recalled. It must
// not if the map names this VM and it had a part in the range since the map's
// token, or, for a map without such a token, if the map names no VM that was not
// asked. A token of another failure domain can't be compared with this front's.
func (f *Front) assignRange(id core.RangeID, r Range, next *custody) {
	c := f.custody[id]
	switch {
	case c == nil:
		base := f.custody[r.Base]
		if id.HotKey != 0 && f.covered(r.Base) && base.left == 0 && !base.token.Less(next.since) && next.has(f.vm, next.sources) {
			// The key was part of a range whose memory is here.
			next.ready, next.token = true, base.token
		}
	case c.since == next.since && c.left == 0 && c.knows(next.sources):
		return
	case c.ready && !next.since.IsZero() && !c.token.Less(next.since) && c.has(f.vm, next.sources):
		c.left, c.since, c.sources = 0, next.since, next.sources
		return
	case c.ready && c.left == 0 && next.since.IsZero() && c.has(f.vm, next.sources):
		c.sources = next.sources
		return
	}
	f.custody[id] = next
}

func sourceList(vms []core.VM) []source {
	out := make([]source, len(vms))
	for i, vm := range vms {
		out[i].vm = vm
	}
	return out
}

func (c *custody) has(vm core.VM, sources []source) bool {
	return slices.ContainsFunc(sources, func(s source) bool { return s.vm == vm })
}

// knows reports whether all of the sources were asked.
func (c *custody) knows(sources []source) bool {
	return !slices.ContainsFunc(sources, func(s source) bool { return !c.has(s.vm, c.sources) })
}

// interrupt notes that the target does not honour the grant any more.
func (f *Front) interrupt(t *target) {
	for id := range t.assignment.Ranges {
		if c := f.custody[id]; c != nil && c.ready {
			c.suspect = true
		}
	}
}

// addressee is whom to ask and from which token on its memory counts.
type addressee struct {
	vm    core.VM
	since core.Token
}

func (a addressee) compare(b addressee) int {
	if n := cmp.Compare(a.vm, b.vm); n != 0 {
		return n
	}
	return a.since.Compare(b.since)
}

// startRecalls begins to recall the memory of ranges whose grant is confirmed.
// Before that the earlier front could still send requests.
func (f *Front) startRecalls(now core.Instant, t *target) {
	if !now.Before(t.view.HeldUntil) || t.view.Token != t.assignment.Token {
		return
	}
	number := f.number()
	ask := make(map[addressee][]core.RangeID)
	if t.ramp.provisional && !t.rampAsked {
		t.rampAsked = true
		for _, vm := range t.assignment.Previous {
			ask[addressee{vm: vm, since: t.assignment.PreviousSince}] = nil
		}
	}
	for _, id := range t.ranges {
		c := f.custody[id]
		if _, ok := t.granted[id]; !ok || c == nil {
			continue
		}
		if c.superseded(t.view.Token) {
			c = &custody{sources: sourceList(c.vms()), since: c.since}
			f.custody[id] = c
			f.dropStale(t)
		}
		c.token, c.suspect = t.view.Token, false
		if c.ready || c.asking {
			continue
		}
		c.asking, c.began = true, now
		for i := range c.sources {
			c.sources[i].asked = number
			to := addressee{vm: c.sources[i].vm, since: c.since}
			ask[to] = append(ask[to], id)
		}
		f.conclude(now, t, c)
	}
	for _, to := range slices.SortedFunc(maps.Keys(ask), addressee.compare) {
		f.emit(Recall{From: to.vm, Number: number, Question: witness.Question{Target: t.id, Ranges: ask[to], Since: to.since}})
	}
}

// superseded reports whether another front may have had a suspect range. It
// had not if the target took the same token again, which it would have refused
// after another front's, or if the map names no front since then.
func (c *custody) superseded(token core.Token) bool {
	return c.suspect && token != c.token && (c.since.IsZero() || c.token.Less(c.since))
}

// dropStale ends the calls that were reserved under an earlier custody of
// their range: the request may have run elsewhere since. It must come before
// the first recall, whose records forgetting the call would erase.
func (f *Front) dropStale(t *target) {
	for _, c := range slices.Clone(t.reserved) {
		if c.custody != f.custody[c.submit.Request.Range] {
			t.reserved = slices.DeleteFunc(t.reserved, func(o *call) bool { return o == c })
			f.abandon(c, Decision{Outcome: core.OutcomeMoved, Detail: "the range had another front"})
		}
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
	for _, id := range t.ranges {
		c := f.custody[id]
		if id != asked && t.assignment.Ranges[id].Base != asked || c == nil || !c.asking || c.ready {
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
		case m.Memory.Gap != nil:
			// The gap stays where it is; a new one would begin with each move.
			c.ready, c.asking = true, false
			c.gapEnd = now.Add(-m.Memory.Gap.Age)
			c.gapUntil = now.Add(core.PlusDrift(m.Memory.Gap.Left))
		case len(m.Ranges) > 1:
			// One range may spoil the answer for all; ask for each alone.
			f.ask(t, c, s, id)
		case id.HotKey != 0 && !s.base:
			s.base = true
			f.ask(t, c, s, t.assignment.Ranges[id].Base)
		default:
			s.lacking = true
		}
		f.conclude(now, t, c)
	}
}

// ask asks one source for the memory of one range.
func (f *Front) ask(t *target, c *custody, s *source, id core.RangeID) {
	s.asked = f.number()
	f.emit(Recall{From: s.vm, Number: s.asked, Question: witness.Question{
		Target: t.id, Ranges: []core.RangeID{id}, Since: c.since,
	}})
}

// ready ends the recall of a range, whose records then go to the witnesses.
func (t *target) ready(id core.RangeID, c *custody) {
	c.ready, c.asking = true, false
	t.uncovered = append(t.uncovered, id)
}

// coverNew notes the ranges that came from another target of this front.
func (f *Front) coverNew(t *target, before map[core.RangeID]Range) {
	for _, id := range t.ranges {
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
	c.gapEnd, c.gapUntil = c.began, c.began.Add(core.PlusDrift(f.remember))
}

// tickCustody asks silent sources again, ends gaps and forgets old custody.
func (f *Front) tickCustody(now core.Instant) {
	for id, c := range f.custody {
		if c.left != 0 && now.Sub(c.left) >= f.remember {
			delete(f.custody, id)
		}
	}
	for _, t := range f.order {
		changed := false
		for _, id := range t.ranges {
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
			f.ask(t, c, s, id)
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

// gap returns the gap of a memory that is complete but for it, or nil.
func (c *custody) gap(now core.Instant, since core.Token) *witness.Gap {
	if c == nil || !c.ready || c.suspect || c.token.Less(since) || !now.Before(c.gapUntil) {
		return nil
	}
	return &witness.Gap{Age: now.Sub(c.gapEnd), Left: c.gapUntil.Sub(now)}
}

// tell answers another front's question with this front's own memory.
func (f *Front) tell(now core.Instant, q witness.Question) witness.Memory {
	out := witness.Memory{Complete: true}
	for _, id := range q.Ranges {
		out.Complete = out.Complete && f.covered(id) && !f.custody[id].token.Less(q.Since)
	}
	if len(q.Ranges) == 1 {
		out.Gap = f.custody[q.Ranges[0]].gap(now, q.Since)
	}
	out.Records = f.memory.Select(now, witness.Matcher(q.Ranges))
	if t := f.targets[q.Target]; t != nil {
		out.RampLimit, out.Incarnation = t.ramp.limit, t.view.Incarnation
	}
	return out
}
