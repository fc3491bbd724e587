package witness

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// maxRecords and maxBytes bound the copies of all fronts together.
	// 262,144 ids are 10 minutes of 430 non-idempotent requests a second.
	maxRecords = 1 << 18
	maxBytes   = 8 << 20
)

// Message is what the witness takes.
type Message interface {
	isWitnessMessage()
	MetricName() string
}

type (
	// Tick lets the witness forget what is old.
	Tick struct{}
	// Remember stores a batch.
	Remember struct {
		Batch Batch
		// Reply receives exactly one answer; it has room for it.
		Reply chan<- Stored
	}
	// Recall asks for what is remembered of a target and its ranges.
	Recall struct {
		Question Question
		// Reply receives exactly one answer; it has room for it.
		Reply chan<- Memory
	}
	// Keep sets how long records are kept.
	Keep struct{ For time.Duration }
)

func (Tick) isWitnessMessage()     {}
func (Remember) isWitnessMessage() {}
func (Recall) isWitnessMessage()   {}
func (Keep) isWitnessMessage()     {}

// Output is what the witness asks for.
type Output interface {
	isWitnessOutput()
	MetricName() string
}

type (
	// AnswerStored answers a Remember.
	AnswerStored struct {
		To     chan<- Stored
		Stored Stored
	}
	// AnswerMemory answers a Recall.
	AnswerMemory struct {
		To     chan<- Memory
		Memory Memory
	}
)

func (AnswerStored) isWitnessOutput() {}
func (AnswerMemory) isWitnessOutput() {}

// replica is the copy of one target's front.
type replica struct {
	front    core.VM
	token    core.Token
	complete bool
	covered  map[core.RangeID]struct{}
	// fresh collects the covers of a full copy under way.
	fresh       map[core.RangeID]struct{}
	rampLimit   int
	incarnation uint64
	heard       core.Instant
}

// Keeper is the step of the witness duty.
type Keeper struct {
	keep     time.Duration
	store    *Store
	replicas map[core.Target]*replica
}

// defaultKeep applies until the policy is known; it is the policy's default.
const defaultKeep = 10 * time.Minute

// NewKeeper returns a witness without copies.
func NewKeeper() *Keeper {
	return &Keeper{
		keep:     defaultKeep,
		store:    NewStore(maxRecords, maxBytes),
		replicas: make(map[core.Target]*replica),
	}
}

// Step implements duty.Step.
func (k *Keeper) Step(now core.Instant, m Message) []Output {
	switch m := m.(type) {
	case Tick:
		k.expire(now)
	case Keep:
		k.keep = m.For
	case Remember:
		return []Output{AnswerStored{To: m.Reply, Stored: k.remember(now, m.Batch)}}
	case Recall:
		return []Output{AnswerMemory{To: m.Reply, Memory: k.recall(now, m.Question)}}
	}
	return nil
}

func (k *Keeper) expire(now core.Instant) {
	k.store.Expire(now, k.keep)
	for id, r := range k.replicas {
		if now.Sub(r.heard) >= k.keep {
			delete(k.replicas, id)
		}
	}
}

func (k *Keeper) remember(now core.Instant, b Batch) Stored {
	r := k.replicas[b.Target]
	if r == nil {
		r = &replica{covered: make(map[core.RangeID]struct{})}
		k.replicas[b.Target] = r
	}
	if b.Token.Less(r.token) {
		// A front that has been replaced must not send any more.
		return Stored{}
	}
	if r.front != b.Front || b.Reset {
		r.complete, r.fresh = false, nil
	}
	if b.Reset {
		r.fresh = make(map[core.RangeID]struct{})
	}
	if r.token.Less(b.Token) {
		// What the front had under another token says nothing of this one.
		clear(r.covered)
		clear(r.fresh)
	}
	r.front, r.token, r.heard = b.Front, b.Token, now
	r.rampLimit, r.incarnation = b.RampLimit, b.Incarnation
	for _, rec := range b.Records {
		if !k.put(now, r, rec) {
			return Stored{}
		}
	}
	if b.Complete && r.fresh != nil {
		r.complete, r.covered, r.fresh = true, r.fresh, nil
	}
	return Stored{Stored: true, Complete: r.complete}
}

func (k *Keeper) put(now core.Instant, r *replica, rec Record) bool {
	switch {
	case rec.ID != "":
		return k.store.Put(now, rec)
	case r.fresh != nil:
		r.fresh[rec.Range] = struct{}{}
	default:
		r.covered[rec.Range] = struct{}{}
	}
	return true
}

func (k *Keeper) recall(now core.Instant, q Question) Memory {
	out := Memory{Complete: true}
	for _, id := range q.Ranges {
		out.Complete = out.Complete && k.complete(id, q.Since)
	}
	out.Records = k.store.Select(now, Matcher(q.Ranges))
	if r := k.replicas[q.Target]; r != nil {
		out.RampLimit, out.Incarnation = r.rampLimit, r.incarnation
	}
	return out
}

// complete reports whether the newest copy that covers the range is complete.
// An older copy of another front doesn't count: it lacks what came after it.
func (k *Keeper) complete(id core.RangeID, since core.Token) bool {
	var newest *replica
	for _, r := range k.replicas {
		if _, ok := r.covered[id]; ok && (newest == nil || newest.token.Less(r.token)) {
			newest = r
		}
	}
	return newest != nil && newest.complete && !newest.token.Less(since)
}
