package replica

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// staleAge is the age of the copy from which a VM looks for another source.
	// A reader gets a response from the store at least every 1.2 s and a
	// follower up to syncWait later, so that ages stay under 2 s without faults.
	staleAge = 2 * time.Second
	// syncWait is how long a source holds a follower's request while there are no
	// new records. It bounds the time to detect a failed source.
	syncWait = 500 * time.Millisecond
	// directReadAge is the age of the copy from which a VM that is neither elected
	// nor a deputy reads the store itself. Until then it tries all other VMs.
	directReadAge = 3500 * time.Millisecond
	// directReadTime is how long a VM without a usable source reads the store
	// itself before it relies on other VMs again.
	directReadTime = 2 * time.Second
	// startReadTime is how long a VM continues to read the store after its first
	// complete copy, while it finds a VM to follow. It is short because all VMs
	// may start at the same time and store calls are charged.
	startReadTime = 300 * time.Millisecond
)

// Message is an input of the replica.
type Message interface{ message() }

// Fetched carries a batch that was read from the store, received from another
// VM or appended by this VM.
type Fetched struct{ Batch Batch }

// ReadFailed reports that a read of Owners from the store failed.
type ReadFailed struct{}

// SyncRequest is a follower's request for the records that it lacks. Reply must
// be buffered.
type SyncRequest struct {
	Have  []Position
	Until core.Instant
	Reply chan<- SyncReply
}

// SyncReply is the reply to a SyncRequest. AsOf of its batches is on this VM's
// clock.
type SyncReply struct {
	Batches []Batch
	// Direct is set if this VM currently reads the store itself.
	Direct bool
}

// Elected states whether this VM reads the store for its failure domain, or is a
// deputy that does so while no other VM is a usable source.
type Elected struct{ Reader, Deputy bool }

// NoSource reports that the source was lost and no other VM is usable as one.
type NoSource struct{}

// Tick advances time.
type Tick struct{}

func (Fetched) message()     {}
func (ReadFailed) message()  {}
func (SyncRequest) message() {}
func (Elected) message()     {}
func (NoSource) message()    {}
func (Tick) message()        {}

// Output is an effect that the caller of Step carries out.
type Output interface{ output() }

// Changed carries new records to the other duties. Without records it reports
// only a later time as of which the copy is current.
type Changed struct {
	Stream  Stream
	Records []Record
	Next    int64
	AsOf    core.Instant
	Source  string
}

// SendReply sends a SyncReply to the follower that requested it.
type SendReply struct {
	To    chan<- SyncReply
	Reply SyncReply
}

// SetReading switches the reading of the store by this VM on or off. Eager is
// set if other VMs rely on it.
type SetReading struct{ On, Eager bool }

// SetFollowing switches the requests to other VMs for their copies on or off.
type SetFollowing struct{ On bool }

func (Changed) output()      {}
func (SendReply) output()    {}
func (SetReading) output()   {}
func (SetFollowing) output() {}

// Replica is the state machine that holds the copy and selects its sources.
type Replica struct {
	copy      *Copy
	pending   []SyncRequest
	elected   bool
	deputy    bool
	reading   SetReading
	following bool
	// failing is set from a failed read of Owners from the store until the next
	// successful one.
	failing bool
	// started is set once all streams have been read.
	started bool
	// directUntil is when a VM that is not elected stops reading the store.
	directUntil core.Instant
}

// New returns a replica that reads the store until it is told that another VM is
// elected.
func New() *Replica { return &Replica{copy: NewCopy(), elected: true} }

// Step implements duty.Step.
func (r *Replica) Step(now core.Instant, m Message) []Output {
	var out []Output
	switch m := m.(type) {
	case Fetched:
		if m.Batch.Source == fromStore && m.Batch.Stream == Owners {
			r.failing = false
		}
		out = r.apply(m.Batch)
	case ReadFailed:
		r.failing = true
	case SyncRequest:
		r.pending = append(r.pending, m)
	case Elected:
		r.elected, r.deputy = m.Reader, m.Deputy
	case NoSource:
		// The store may turn away all readers at once, and serve this VM.
		if r.deputy {
			r.directUntil = now.Add(directReadTime)
		}
	case Tick:
	}
	out = append(out, r.sendReplies(now)...)
	return append(out, r.selectSources(now)...)
}

func (r *Replica) apply(b Batch) []Output {
	changed := r.copy.Apply(b)
	asOf, _ := r.copy.AsOf(b.Stream)
	return []Output{Changed{Stream: b.Stream, Records: changed, Next: r.copy.Next(b.Stream), AsOf: asOf, Source: b.Source}}
}

// sendReplies replies to the followers that lack records or whose wait has
// ended.
func (r *Replica) sendReplies(now core.Instant) []Output {
	var out []Output
	kept := r.pending[:0]
	for _, q := range r.pending {
		if now.Before(q.Until) && !r.hasNewer(q.Have) {
			kept = append(kept, q)
			continue
		}
		out = append(out, SendReply{To: q.Reply, Reply: SyncReply{Batches: r.batches(q.Have), Direct: r.reading.On && !r.failing}})
	}
	r.pending = kept
	return out
}

func (r *Replica) hasNewer(have []Position) bool {
	for _, p := range have {
		if r.copy.Next(p.Stream) > p.Next {
			return true
		}
	}
	return false
}

func (r *Replica) batches(have []Position) []Batch {
	var out []Batch
	for _, p := range have {
		asOf, known := r.copy.AsOf(p.Stream)
		if !known {
			continue
		}
		out = append(out, Batch{Stream: p.Stream, Next: r.copy.Next(p.Stream), AsOf: asOf, Records: r.copy.Since(p.Stream, p.Next)})
	}
	return out
}

// age returns the age of the stream that is most up to date, whatever its
// source, or staleAge while a stream has never been read. Any stream shows that
// the store is reachable.
func (r *Replica) age(now core.Instant) time.Duration {
	age := time.Duration(1<<63 - 1)
	for s := range NumStreams {
		asOf, known := r.copy.AsOf(s)
		if !known {
			return staleAge
		}
		age = min(age, now.Sub(asOf))
	}
	return age
}

// selectSources decides whether this VM reads the store, follows other VMs, or
// both.
func (r *Replica) selectSources(now core.Instant) []Output {
	age := r.age(now)
	stale := age >= staleAge
	switch {
	case !r.started:
		r.directUntil = now.Add(startReadTime)
	case age >= directReadAge:
		r.directUntil = now.Add(directReadTime)
	}
	r.started = r.started || age < staleAge
	reading := r.elected || now.Before(r.directUntil)
	following := !r.elected || stale || r.failing
	var out []Output
	if want := (SetReading{On: reading, Eager: r.elected}); want != r.reading {
		r.reading = want
		out = append(out, want)
	}
	if following != r.following {
		r.following = following
		out = append(out, SetFollowing{On: following})
	}
	return out
}
