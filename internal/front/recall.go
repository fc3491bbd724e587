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
	// recallRetryDelay is the delay before a failed recall is sent again.
	recallRetryDelay = 100 * time.Millisecond
	// recallTimeout is how long a front waits for VMs that do not reply before
	// it treats their records as lost. A suspended VM often resumes within that
	// time.
	recallTimeout = 2 * time.Second
	// maxClockSkew bounds the difference between the wall clocks of callers and
	// VMs.
	maxClockSkew = 5 * time.Second
)

// recordState tracks whether this front's records of one range are complete.
type recordState struct {
	// ready is set once the records are complete, except for a gap.
	ready bool
	// releasedAt is when the range was unassigned, 0 while it is assigned here.
	releasedAt      core.Instant
	recallStartedAt core.Instant
	sources         []source
	// since is the lowest token with which a VM's records count as complete.
	since     core.Token
	recalling bool
	// Records from before gapEnd may be missing. At gapUntil all of those would
	// have expired. Both are 0 without a gap.
	gapEnd, gapUntil core.Instant
	// token is the last one with which the target confirmed the range for this
	// front.
	token core.Token
	// suspect is set when the target no longer accepted that token: another
	// front may have served the range since.
	suspect bool
}

// source is a VM that may hold records of the range.
type source struct {
	vm core.VM
	// requestNumber is that of the recall in flight, 0 if there is none.
	requestNumber uint64
	// incomplete is set once the VM replied that its records are incomplete.
	incomplete bool
	// baseRequested is set once the records of a hot key's numbered range were
	// requested.
	baseRequested bool
	retryAt       core.Instant
}

// recordCoverage says whether a request id without a record is known to be new.
type recordCoverage uint8

const (
	coverageComplete recordCoverage = iota
	coveragePending
	coverageGap
)

// coverageOf reports whether the records of a request's range are complete as
// far as the request's id is concerned.
func (f *Front) coverageOf(now core.Instant, m Submit) recordCoverage {
	st := f.recordStates[m.Request.Range]
	switch {
	case st == nil || !st.ready || st.suspect || st.releasedAt != 0:
		return coveragePending
	case st.gapUntil == 0 || !now.Before(st.gapUntil):
		return coverageComplete
	}
	created, ok := idTime(m.Request.ID)
	gapEnd := m.Wall.Add(-core.MinusDrift(now.Sub(st.gapEnd)))
	if ok && created.After(gapEnd.Add(maxClockSkew)) {
		return coverageComplete
	}
	return coverageGap
}

// assignRecordStates adds record states for newly assigned ranges and marks
// those of unassigned ranges as released.
func (f *Front) assignRecordStates(now core.Instant) {
	assigned := make(map[core.RangeID]struct{})
	for _, t := range f.targets {
		for id, r := range t.assignment.Ranges {
			assigned[id] = struct{}{}
			f.assignRecordState(id, r, newRecordState(t.assignment, r))
		}
	}
	for id, st := range f.recordStates {
		if _, ok := assigned[id]; !ok && st.releasedAt == 0 {
			st.releasedAt = now
		}
	}
}

// newRecordState returns the state of a range whose records have to be recalled
// from the VMs that the map names, or of a range without earlier records.
func newRecordState(a Assignment, r Range) *recordState {
	switch {
	case len(r.MemoryAt) > 0:
		return &recordState{sources: sourceList(r.MemoryAt), since: r.MemorySince}
	case r.First:
		return &recordState{ready: true}
	}
	return &recordState{sources: sourceList(a.Previous), since: a.PreviousSince}
}

// assignRecordState decides whether the records of a range must be recalled.
// They are kept if the map names this VM as a holder and its token is not lower
// than the map's, or, for a map without a token, if this VM still has the range
// and the map names it. A state whose sources were all queried is not replaced.
// A token of another failure domain can't be compared with this front's.
func (f *Front) assignRecordState(id core.RangeID, r Range, next *recordState) {
	st := f.recordStates[id]
	switch {
	case st == nil:
		base := f.recordStates[r.Base]
		if id.HotKey != 0 && f.hasCompleteRecords(r.Base) && base.releasedAt == 0 && !base.token.Less(next.since) && next.hasSource(f.vm, next.sources) {
			// The key was part of a numbered range whose records are here.
			next.ready, next.token = true, base.token
		}
	case st.since == next.since && st.releasedAt == 0 && st.hasSources(next.sources):
		return
	case st.ready && !next.since.IsZero() && !st.token.Less(next.since) && st.hasSource(f.vm, next.sources):
		st.releasedAt, st.since, st.sources = 0, next.since, next.sources
		return
	case st.ready && st.releasedAt == 0 && next.since.IsZero() && st.hasSource(f.vm, next.sources):
		st.sources = next.sources
		return
	}
	f.recordStates[id] = next
}

func sourceList(vms []core.VM) []source {
	out := make([]source, len(vms))
	for i, vm := range vms {
		out[i].vm = vm
	}
	return out
}

func (st *recordState) hasSource(vm core.VM, sources []source) bool {
	return slices.ContainsFunc(sources, func(s source) bool { return s.vm == vm })
}

// hasSources reports whether st includes all of the sources.
func (st *recordState) hasSources(sources []source) bool {
	return !slices.ContainsFunc(sources, func(s source) bool { return !st.hasSource(s.vm, st.sources) })
}

// markSuspect marks the records of the target's ranges as suspect, because the
// target no longer accepts the grant.
func (f *Front) markSuspect(t *target) {
	for id := range t.assignment.Ranges {
		if st := f.recordStates[id]; st != nil && st.ready {
			st.suspect = true
		}
	}
}

// recallKey groups the ranges whose records one recall requests: those with the
// same source and the same lowest token.
type recallKey struct {
	vm    core.VM
	since core.Token
}

func (a recallKey) compare(b recallKey) int {
	if n := cmp.Compare(a.vm, b.vm); n != 0 {
		return n
	}
	return a.since.Compare(b.since)
}

// startRecalls recalls the records of ranges whose grant is confirmed. Before
// the confirmation the earlier front could still send requests.
func (f *Front) startRecalls(now core.Instant, t *target) {
	if !now.Before(t.view.HeldUntil) || t.view.Token != t.assignment.Token {
		return
	}
	number := f.nextNumber()
	requests := make(map[recallKey][]core.RangeID)
	if t.ramp.provisional && !t.rampLimitRequested {
		t.rampLimitRequested = true
		for _, vm := range t.assignment.Previous {
			requests[recallKey{vm: vm, since: t.assignment.PreviousSince}] = nil
		}
	}
	for _, id := range t.ranges {
		st := f.recordStates[id]
		if _, ok := t.granted[id]; !ok || st == nil {
			continue
		}
		if st.mayBeSuperseded(t.view.Token) {
			st = &recordState{sources: sourceList(st.vms()), since: st.since}
			f.recordStates[id] = st
			f.abandonStaleCalls(t)
		}
		st.token, st.suspect = t.view.Token, false
		if st.ready || st.recalling {
			continue
		}
		st.recalling, st.recallStartedAt = true, now
		for i := range st.sources {
			st.sources[i].requestNumber = number
			k := recallKey{vm: st.sources[i].vm, since: st.since}
			requests[k] = append(requests[k], id)
		}
		f.declareGapIfDue(now, t, st)
	}
	for _, k := range slices.SortedFunc(maps.Keys(requests), recallKey.compare) {
		f.emit(SendRecallRequest{From: k.vm, Number: number, Request: witness.RecallRequest{Target: t.id, Ranges: requests[k], Since: k.since}})
	}
}

// mayBeSuperseded reports whether another front may have served a suspect
// range. None has if the target accepted the same token again, which it would
// have rejected after another front's, or if the map names no front since then.
func (st *recordState) mayBeSuperseded(token core.Token) bool {
	return st.suspect && token != st.token && (st.since.IsZero() || st.token.Less(st.since))
}

// abandonStaleCalls abandons the calls that were reserved under an earlier
// record state of their range, since their requests may have run through
// another front. It must run before the first recall: abandoning a call later
// would delete a record that the recall returned.
func (f *Front) abandonStaleCalls(t *target) {
	for _, c := range slices.Clone(t.reserved) {
		if c.recordState != f.recordStates[c.submit.Request.Range] {
			t.reserved = slices.DeleteFunc(t.reserved, func(o *call) bool { return o == c })
			f.abandon(c, Decision{Outcome: core.OutcomeMoved, Detail: "the range had another front"})
		}
	}
}

func (st *recordState) vms() []core.VM {
	out := make([]core.VM, len(st.sources))
	for i, s := range st.sources {
		out[i] = s.vm
	}
	return out
}

func (f *Front) stepRecallDone(now core.Instant, m RecallDone) {
	for _, r := range m.Reply.Records {
		// If the store is full, the recalled records are incomplete.
		m.Failed = !f.records.Put(now, r) || m.Failed
	}
	t := f.targets[m.Target]
	if t == nil {
		return
	}
	if !m.Failed && m.Reply.Incarnation == t.view.Incarnation {
		t.ramp.applyRecordedLimit(m.Reply.RampLimit)
	}
	for _, id := range m.Ranges {
		f.applyRecallReply(now, t, id, m)
	}
	f.reevaluateWaiting(now, t)
	f.replicate(now, t)
}

func (f *Front) applyRecallReply(now core.Instant, t *target, requested core.RangeID, m RecallDone) {
	for _, id := range t.ranges {
		st := f.recordStates[id]
		if id != requested && t.assignment.Ranges[id].Base != requested || st == nil || !st.recalling || st.ready {
			continue
		}
		i := slices.IndexFunc(st.sources, func(s source) bool { return s.vm == m.From && s.requestNumber == m.Number })
		if i < 0 {
			continue
		}
		s := &st.sources[i]
		s.requestNumber = 0
		switch {
		case m.Failed:
			s.retryAt = now.Add(recallRetryDelay)
		case m.Reply.Complete:
			t.finishRecall(id, st)
		case m.Reply.Gap != nil:
			// Take over the gap as it is. Starting a new one at each move would
			// prolong it.
			st.ready, st.recalling = true, false
			st.gapEnd = now.Add(-m.Reply.Gap.Age)
			st.gapUntil = now.Add(core.PlusDrift(m.Reply.Gap.Remaining))
		case len(m.Ranges) > 1:
			// One incomplete range makes the whole reply incomplete, so request
			// each range on its own.
			f.requestRecall(t, st, s, id)
		case id.HotKey != 0 && !s.baseRequested:
			s.baseRequested = true
			f.requestRecall(t, st, s, t.assignment.Ranges[id].Base)
		default:
			s.incomplete = true
		}
		f.declareGapIfDue(now, t, st)
	}
}

// requestRecall requests the records of one range from one source.
func (f *Front) requestRecall(t *target, st *recordState, s *source, id core.RangeID) {
	s.requestNumber = f.nextNumber()
	f.emit(SendRecallRequest{From: s.vm, Number: s.requestNumber, Request: witness.RecallRequest{
		Target: t.id, Ranges: []core.RangeID{id}, Since: st.since,
	}})
}

// finishRecall ends the recall of a range and schedules its records for
// replication to the witnesses.
func (t *target) finishRecall(id core.RangeID, st *recordState) {
	st.ready, st.recalling = true, false
	t.unreplicatedRanges = append(t.unreplicatedRanges, id)
}

// replicateTransferredRanges schedules the replication of ranges that came from
// another target of this front.
func (f *Front) replicateTransferredRanges(t *target, before map[core.RangeID]Range) {
	for _, id := range t.ranges {
		if _, ok := before[id]; !ok && f.hasCompleteRecords(id) {
			t.unreplicatedRanges = append(t.unreplicatedRanges, id)
		}
	}
}

// declareGapIfDue declares a gap once every source is incomplete or has not
// replied within recallTimeout.
func (f *Front) declareGapIfDue(now core.Instant, t *target, st *recordState) {
	if st.ready || !st.recalling {
		return
	}
	for _, s := range st.sources {
		if !s.incomplete && now.Sub(st.recallStartedAt) < recallTimeout {
			return
		}
	}
	st.ready, st.recalling = true, false
	st.gapEnd, st.gapUntil = st.recallStartedAt, st.recallStartedAt.Add(core.PlusDrift(f.retention))
}

// tickRecordStates retries failed recalls, ends gaps and deletes the states of
// ranges that were released longer than the retention period ago.
func (f *Front) tickRecordStates(now core.Instant) {
	for id, st := range f.recordStates {
		if st.releasedAt != 0 && now.Sub(st.releasedAt) >= f.retention {
			delete(f.recordStates, id)
		}
	}
	for _, t := range f.sortedTargets {
		changed := false
		for _, id := range t.ranges {
			if st := f.recordStates[id]; st != nil && st.releasedAt == 0 {
				changed = f.tickRecordState(now, t, id, st) || changed
			}
		}
		if changed {
			f.reevaluateWaiting(now, t)
		}
	}
}

// tickRecordState reports whether the records of the range have become usable.
func (f *Front) tickRecordState(now core.Instant, t *target, id core.RangeID, st *recordState) bool {
	if st.ready {
		if st.gapUntil != 0 && !now.Before(st.gapUntil) {
			st.gapEnd, st.gapUntil = 0, 0
			t.finishRecall(id, st)
		}
		return false
	}
	if !st.recalling {
		return false
	}
	for i := range st.sources {
		if s := &st.sources[i]; s.requestNumber == 0 && !s.incomplete && !now.Before(s.retryAt) {
			f.requestRecall(t, st, s, id)
		}
	}
	f.declareGapIfDue(now, t, st)
	return st.ready
}

// hasCompleteRecords reports whether this front's records of a range are
// complete and without a gap.
func (f *Front) hasCompleteRecords(id core.RangeID) bool {
	st := f.recordStates[id]
	return st != nil && st.ready && !st.suspect && st.gapUntil == 0
}

// gap returns the gap of records that are otherwise complete, or nil.
func (st *recordState) gap(now core.Instant, since core.Token) *witness.Gap {
	if st == nil || !st.ready || st.suspect || st.token.Less(since) || !now.Before(st.gapUntil) {
		return nil
	}
	return &witness.Gap{Age: now.Sub(st.gapEnd), Remaining: st.gapUntil.Sub(now)}
}

// answerRecall replies to another front's recall from this front's own records.
func (f *Front) answerRecall(now core.Instant, req witness.RecallRequest) witness.RecallReply {
	reply := witness.RecallReply{Complete: true}
	for _, id := range req.Ranges {
		reply.Complete = reply.Complete && f.hasCompleteRecords(id) && !f.recordStates[id].token.Less(req.Since)
	}
	if len(req.Ranges) == 1 {
		reply.Gap = f.recordStates[req.Ranges[0]].gap(now, req.Since)
	}
	reply.Records = f.records.Select(now, witness.RangeMatcher(req.Ranges))
	if t := f.targets[req.Target]; t != nil {
		reply.RampLimit, reply.Incarnation = t.ramp.limit, t.view.Incarnation
	}
	return reply
}
