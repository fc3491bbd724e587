package front

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/witness"
)

const (
	// maxBatchRecords bounds the records in one batch for a witness.
	maxBatchRecords = 256
	// replicationRetryDelay is the delay after a witness did not store a batch.
	replicationRetryDelay = 50 * time.Millisecond
	// keepAliveInterval is the longest interval between batches. A witness drops
	// a replica for which it received no batch within the retention period.
	keepAliveInterval = 15 * time.Second
)

// replicator copies the records of a target to one witness, in order and with
// one batch in flight. Records that are added meanwhile go into the next batch.
type replicator struct {
	vm core.VM
	// pending holds the entries that the witness has not confirmed. The first
	// inFlight of them are in the batch in flight.
	pending  []replicationEntry
	inFlight int
	// batchNumber is that of the batch in flight, 0 if there is none.
	batchNumber uint64
	// lastPosition is that of the last entry added, confirmedPosition that of
	// the last one confirmed.
	lastPosition, confirmedPosition uint64
	// fullCopy is set until the first batch of a full copy is confirmed.
	fullCopy bool
	// sendsAllPending is set if the batch in flight contained all pending
	// entries when it was sent.
	sendsAllPending bool
	// synced is set once a full copy is confirmed.
	synced bool
	// sentRampLimit and sentToken are those of the last batch. The limit is 0 if
	// that batch was not stored, so that it is sent again.
	sentRampLimit int
	sentToken     core.Token
	retryAt       core.Instant
	lastSentAt    core.Instant
}

// replicationEntry names a record, or, if key is zero, a range whose records
// are complete.
type replicationEntry struct {
	key           witness.Key
	completeRange core.RangeID
	position      uint64
}

// addRecord appends a record and returns its position.
func (rep *replicator) addRecord(k witness.Key) uint64 {
	rep.lastPosition++
	rep.pending = append(rep.pending, replicationEntry{key: k, position: rep.lastPosition})
	return rep.lastPosition
}

func (rep *replicator) addCompleteRange(r core.RangeID) {
	rep.lastPosition++
	rep.pending = append(rep.pending, replicationEntry{completeRange: r, position: rep.lastPosition})
}

// replicateCompleteRanges queues for all witnesses the records of ranges that
// have become complete, followed by the ranges themselves.
func (f *Front) replicateCompleteRanges(t *target) {
	if len(t.unreplicatedRanges) == 0 {
		return
	}
	ids := t.unreplicatedRanges
	t.unreplicatedRanges = nil
	keys := f.records.Keys(witness.RangeMatcher(ids))
	for _, rep := range t.replicators {
		for _, k := range keys {
			rep.addRecord(k)
		}
		for _, id := range ids {
			rep.addCompleteRange(id)
		}
	}
}

// requeueCompleteRanges queues all complete ranges again after a change of the
// token, because a witness discards the ranges received under an earlier one.
func (f *Front) requeueCompleteRanges(t *target) {
	for _, id := range t.ranges {
		if !f.hasCompleteRecords(id) {
			continue
		}
		for _, rep := range t.replicators {
			rep.addCompleteRange(id)
		}
	}
}

// assignWitnesses adds and removes replicators by the target's list of
// witnesses.
func (f *Front) assignWitnesses(now core.Instant, t *target) {
	var replicators []*replicator
	for _, vm := range t.assignment.Witnesses {
		if vm == f.vm {
			continue
		}
		i := slices.IndexFunc(t.replicators, func(rep *replicator) bool { return rep.vm == vm })
		if i >= 0 {
			replicators = append(replicators, t.replicators[i])
			continue
		}
		rep := &replicator{vm: vm}
		f.startFullCopy(t, rep)
		replicators = append(replicators, rep)
	}
	if !slices.Equal(replicators, t.replicators) {
		t.replicators = replicators
		f.requireAllPending(t)
	}
	f.replicate(now, t)
	f.sendReady(now, t)
}

// startFullCopy queues all records of the target's service, followed by its
// complete ranges. Confirmations of an earlier copy are void.
func (f *Front) startFullCopy(t *target, rep *replicator) {
	rep.pending, rep.inFlight = nil, 0
	rep.fullCopy, rep.synced = true, false
	service := t.assignment.Service
	for _, k := range f.records.Keys(func(recorded core.RangeID) bool { return recorded.Service == service }) {
		rep.addRecord(k)
	}
	for _, id := range t.ranges {
		if f.hasCompleteRecords(id) {
			rep.addCompleteRange(id)
		}
	}
}

// requireAllPending makes every reserved call wait until all pending entries
// are confirmed.
func (f *Front) requireAllPending(t *target) {
	for _, c := range t.reserved {
		c.requiredPositions = c.requiredPositions[:0]
		for _, rep := range t.replicators {
			c.requiredPositions = append(c.requiredPositions, rep.lastPosition)
		}
	}
}

// replicated reports whether all witnesses have stored the id of a call.
func (t *target) replicated(c *call) bool {
	for i, rep := range t.replicators {
		if !rep.synced || rep.confirmedPosition < c.requiredPositions[i] {
			return false
		}
	}
	return true
}

// replicate sends a batch to each witness that lacks records, the ramp limit or
// the token, or is due for a keep-alive, and has no batch in flight.
func (f *Front) replicate(now core.Instant, t *target) {
	if t.view.Token.IsZero() {
		return
	}
	f.replicateCompleteRanges(t)
	for _, rep := range t.replicators {
		stateDue := rep.sentRampLimit != t.ramp.limit || rep.sentToken != t.view.Token || now.Sub(rep.lastSentAt) >= min(keepAliveInterval, f.retention/4)
		if rep.batchNumber != 0 || now.Before(rep.retryAt) || len(rep.pending) == 0 && !rep.fullCopy && !stateDue {
			continue
		}
		b := f.nextBatch(now, t, rep)
		f.emit(SendRememberRequest{To: rep.vm, Number: rep.batchNumber, Batch: b})
	}
}

func (f *Front) nextBatch(now core.Instant, t *target, rep *replicator) witness.Batch {
	rep.batchNumber, rep.lastSentAt = f.nextNumber(), now
	rep.inFlight = min(len(rep.pending), maxBatchRecords)
	rep.sendsAllPending = rep.inFlight == len(rep.pending)
	rep.sentRampLimit, rep.sentToken = t.ramp.limit, t.view.Token
	b := witness.Batch{
		Front: f.vm, Target: t.id, Token: t.view.Token,
		Reset: rep.fullCopy, Complete: rep.sendsAllPending,
		RampLimit: t.ramp.limit, Incarnation: t.view.Incarnation,
	}
	for _, i := range rep.pending[:rep.inFlight] {
		if i.key == (witness.Key{}) {
			if !f.hasCompleteRecords(i.completeRange) {
				continue
			}
			b.Records = append(b.Records, witness.Record{Range: i.completeRange})
		} else if r, ok := f.records.GetWithAge(now, i.key); ok {
			b.Records = append(b.Records, r)
		}
	}
	return b
}

func (f *Front) stepRememberDone(now core.Instant, m RememberDone) {
	t := f.targets[m.Target]
	if t == nil {
		return
	}
	i := slices.IndexFunc(t.replicators, func(rep *replicator) bool { return rep.vm == m.From })
	if i < 0 || t.replicators[i].batchNumber != m.Number {
		return
	}
	rep := t.replicators[i]
	rep.batchNumber = 0
	switch {
	case !m.Reply.Stored:
		rep.retryAt = now.Add(replicationRetryDelay)
		rep.sentRampLimit = 0
	case rep.sendsAllPending && !m.Reply.Complete:
		// The witness has lost its replica, for example by a restart.
		f.startFullCopy(t, rep)
		f.requireAllPending(t)
	default:
		rep.confirm()
	}
	f.replicate(now, t)
	f.sendReady(now, t)
	f.dispatchQueued(now, t)
}

// confirm marks the batch in flight as stored.
func (rep *replicator) confirm() {
	if rep.inFlight > 0 {
		rep.confirmedPosition = rep.pending[rep.inFlight-1].position
		rep.pending = rep.pending[rep.inFlight:]
	}
	rep.inFlight, rep.fullCopy = 0, false
	rep.synced = rep.synced || rep.sendsAllPending
}
