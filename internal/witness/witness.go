package witness

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// maxRecords and maxResponseBytes bound the replicas of all fronts together.
	// 262,144 ids are 10 minutes of 430 non-idempotent requests a second.
	maxRecords       = 1 << 18
	maxResponseBytes = 8 << 20
)

// Message is an input of the witness.
type Message interface {
	isWitnessMessage()
	MetricName() string
}

type (
	// Tick makes the witness delete expired records and replicas.
	Tick struct{}
	// RememberRequested requests that the witness store a batch.
	RememberRequested struct {
		Batch Batch
		// Reply receives exactly one reply and must be buffered.
		Reply chan<- RememberReply
	}
	// RecallRequested requests the records of a target's ranges.
	RecallRequested struct {
		Request RecallRequest
		// Reply receives exactly one reply and must be buffered.
		Reply chan<- RecallReply
	}
	// SetRetention sets how long records and replicas are kept.
	SetRetention struct{ Period time.Duration }
)

func (Tick) isWitnessMessage()              {}
func (RememberRequested) isWitnessMessage() {}
func (RecallRequested) isWitnessMessage()   {}
func (SetRetention) isWitnessMessage()      {}

// Output is an effect that the witness requests from its process.
type Output interface {
	isWitnessOutput()
	MetricName() string
}

type (
	// SendRememberReply answers a RememberRequested.
	SendRememberReply struct {
		To    chan<- RememberReply
		Reply RememberReply
	}
	// SendRecallReply answers a RecallRequested.
	SendRecallReply struct {
		To    chan<- RecallReply
		Reply RecallReply
	}
)

func (SendRememberReply) isWitnessOutput() {}
func (SendRecallReply) isWitnessOutput()   {}

// replica is the state of the copy of one target's records. The records
// themselves are in the store.
type replica struct {
	front          core.VM
	token          core.Token
	complete       bool
	completeRanges map[core.RangeID]struct{}
	// pendingRanges collects the complete ranges during a full copy, nil
	// otherwise. They replace completeRanges once the copy has ended.
	pendingRanges map[core.RangeID]struct{}
	rampLimit     int
	incarnation   uint64
	lastBatchAt   core.Instant
}

// Witness holds the replicas for other VMs' fronts. It implements duty.Step.
type Witness struct {
	retention time.Duration
	store     *Store
	replicas  map[core.Target]*replica
}

// defaultRetention applies until the policy is known. It equals the policy's
// default.
const defaultRetention = 10 * time.Minute

// New returns a witness without replicas.
func New() *Witness {
	return &Witness{
		retention: defaultRetention,
		store:     NewStore(maxRecords, maxResponseBytes),
		replicas:  make(map[core.Target]*replica),
	}
}

// Step implements duty.Step.
func (w *Witness) Step(now core.Instant, m Message) []Output {
	switch m := m.(type) {
	case Tick:
		w.expire(now)
	case SetRetention:
		w.retention = m.Period
	case RememberRequested:
		return []Output{SendRememberReply{To: m.Reply, Reply: w.storeBatch(now, m.Batch)}}
	case RecallRequested:
		return []Output{SendRecallReply{To: m.Reply, Reply: w.answerRecall(now, m.Request)}}
	}
	return nil
}

func (w *Witness) expire(now core.Instant) {
	w.store.Expire(now, w.retention)
	for id, r := range w.replicas {
		if now.Sub(r.lastBatchAt) >= w.retention {
			delete(w.replicas, id)
		}
	}
}

func (w *Witness) storeBatch(now core.Instant, b Batch) RememberReply {
	r := w.replicas[b.Target]
	if r == nil {
		r = &replica{completeRanges: make(map[core.RangeID]struct{})}
		w.replicas[b.Target] = r
	}
	if b.Token.Less(r.token) {
		// A front that has been replaced must not send requests any more.
		return RememberReply{}
	}
	if r.front != b.Front || b.Reset {
		r.complete, r.pendingRanges = false, nil
	}
	if b.Reset {
		r.pendingRanges = make(map[core.RangeID]struct{})
	}
	if r.token.Less(b.Token) {
		// Another front may have served the ranges between the two tokens.
		clear(r.completeRanges)
		clear(r.pendingRanges)
	}
	r.front, r.token, r.lastBatchAt = b.Front, b.Token, now
	r.rampLimit, r.incarnation = b.RampLimit, b.Incarnation
	for _, rec := range b.Records {
		if !w.storeRecord(now, r, rec) {
			return RememberReply{}
		}
	}
	if b.Complete && r.pendingRanges != nil {
		r.complete, r.completeRanges, r.pendingRanges = true, r.pendingRanges, nil
	}
	return RememberReply{Stored: true, Complete: r.complete}
}

func (w *Witness) storeRecord(now core.Instant, r *replica, rec Record) bool {
	switch {
	case rec.ID != "":
		return w.store.Put(now, rec)
	case r.pendingRanges != nil:
		r.pendingRanges[rec.Range] = struct{}{}
	default:
		r.completeRanges[rec.Range] = struct{}{}
	}
	return true
}

func (w *Witness) answerRecall(now core.Instant, req RecallRequest) RecallReply {
	reply := RecallReply{Complete: true}
	for _, id := range req.Ranges {
		reply.Complete = reply.Complete && w.hasCompleteRecords(id, req.Since)
	}
	reply.Records = w.store.Select(now, RangeMatcher(req.Ranges))
	if r := w.replicas[req.Target]; r != nil {
		reply.RampLimit, reply.Incarnation = r.rampLimit, r.incarnation
	}
	return reply
}

// hasCompleteRecords reports whether the newest replica that contains the range
// is complete and its token is not lower than since. An older replica of another
// front doesn't count, because it lacks later requests.
func (w *Witness) hasCompleteRecords(id core.RangeID, since core.Token) bool {
	var newest *replica
	for _, r := range w.replicas {
		if _, ok := r.completeRanges[id]; ok && (newest == nil || newest.token.Less(r.token)) {
			newest = r
		}
	}
	return newest != nil && newest.complete && !newest.token.Less(since)
}
