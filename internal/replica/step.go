package replica

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// staleAge is the age of the copy of a stream at which a source stops being one
// and looks for a source itself. A change has to be in force within 2 s, and its
// followers need up to 300 ms to find another source. Without faults, ages stay
// below readWait and the latency of a slow store (200 ms).
var staleAge = [NumStreams]time.Duration{
	Config:  1500 * time.Millisecond,
	Targets: 1500 * time.Millisecond,
	Owners:  1800 * time.Millisecond,
	Members: 10 * time.Second,
}

const (
	// syncWait is how long a source holds a follower's request while there are no
	// new records. It bounds the time to detect a failed source.
	syncWait = 500 * time.Millisecond
	// directReadAge is the age of the copy of any stream but Members at which every
	// VM reads the store itself. Ages at a follower exceed those at its source by up
	// to syncWait.
	directReadAge = 2500 * time.Millisecond
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

// ReadFailed reports that a read of a stream from the store failed.
type ReadFailed struct{ Stream Stream }

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
	// Direct is set if this VM currently reads the store itself and has an up-to-date
	// copy of every stream.
	Direct bool
}

// Elected states whether this VM reads the store for its failure domain, or is a
// deputy that does so while no other VM is a usable source.
type Elected struct{ Reader, Deputy bool }

// SourceLost reports that the source was lost.
type SourceLost struct{}

// NoSource reports that the source was lost and no other VM is usable as one.
type NoSource struct{}

// Tick advances time.
type Tick struct{}

func (Fetched) message()     {}
func (ReadFailed) message()  {}
func (SyncRequest) message() {}
func (Elected) message()     {}
func (SourceLost) message()  {}
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

// EraChanged reports that the store was restored from an older copy of itself, and
// lost the newest records of a stream. Before and After are the ends of the stream
// in this VM's copy.
type EraChanged struct {
	Stream        Stream
	Before, After int64
	Source        string
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
func (EraChanged) output()   {}
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
	// failing is set for each stream from a failed read from the store until the
	// next successful one.
	failing [NumStreams]bool
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
		if m.Batch.Source == fromStore {
			r.failing[m.Batch.Stream] = false
		}
		out = r.apply(m.Batch)
	case ReadFailed:
		r.failing[m.Stream] = true
	case SyncRequest:
		r.pending = append(r.pending, m)
	case Elected:
		r.elected, r.deputy = m.Reader, m.Deputy
	case SourceLost:
		// The store may have turned away all readers at once, and serve this VM.
		if r.deputy {
			r.directUntil = now.Add(directReadTime)
		}
	case NoSource:
		if r.deputy || r.stale(now) {
			r.directUntil = now.Add(directReadTime)
		}
	case Tick:
	}
	out = append(out, r.sendReplies(now)...)
	return append(out, r.selectSources(now)...)
}

func (r *Replica) apply(b Batch) []Output {
	before := r.copy.Next(b.Stream)
	_, known := r.copy.AsOf(b.Stream)
	changed := r.copy.Apply(b)
	asOf, _ := r.copy.AsOf(b.Stream)
	var out []Output
	if next := r.copy.Next(b.Stream); known && Era(next) != Era(before) {
		out = append(out, EraChanged{Stream: b.Stream, Before: before, After: next, Source: b.Source})
	}
	return append(out, Changed{Stream: b.Stream, Records: changed, Next: r.copy.Next(b.Stream), AsOf: asOf, Source: b.Source})
}

// sendReplies replies to the followers that lack records or whose wait has
// ended, and to all of them if this VM is not a usable source.
func (r *Replica) sendReplies(now core.Instant) []Output {
	var out []Output
	usable := r.reading.On && !r.storeLost() && !r.stale(now)
	kept := r.pending[:0]
	for _, q := range r.pending {
		if usable && now.Before(q.Until) && !r.hasNewer(q.Have) {
			kept = append(kept, q)
			continue
		}
		out = append(out, SendReply{To: q.Reply, Reply: SyncReply{Batches: r.batches(q.Have), Direct: usable}})
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

// stale reports whether the copy of any stream has reached its staleAge or was
// never read.
func (r *Replica) stale(now core.Instant) bool {
	for s := range NumStreams {
		asOf, known := r.copy.AsOf(s)
		if !known || now.Sub(asOf) >= staleAge[s] {
			return true
		}
	}
	return false
}

// storeLost reports whether reads from the store fail. Members doesn't count, as
// its records stay valid for many of its read intervals.
func (r *Replica) storeLost() bool {
	return r.failing[Config] || r.failing[Targets] || r.failing[Owners]
}

// needsDirectRead reports whether other VMs have not kept the copy up to date.
func (r *Replica) needsDirectRead(now core.Instant) bool {
	for _, s := range []Stream{Config, Targets, Owners} {
		if asOf, known := r.copy.AsOf(s); known && now.Sub(asOf) >= directReadAge {
			return true
		}
	}
	return false
}

// selectSources decides whether this VM reads the store, follows other VMs, or
// both.
func (r *Replica) selectSources(now core.Instant) []Output {
	stale := r.stale(now)
	switch {
	case !r.started:
		r.directUntil = now.Add(startReadTime)
	case r.needsDirectRead(now):
		r.directUntil = now.Add(directReadTime)
	}
	r.started = r.started || !stale
	reading := r.elected || now.Before(r.directUntil)
	following := !r.elected || stale || r.storeLost()
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
