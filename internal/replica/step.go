package replica

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// staleAge is the age of the copy from which a VM looks for another source.
	// A reader hears from the store at least every 1.2 s and a follower up to
	// syncWait later, so that ages stay under 2 s while all is well.
	staleAge = 2 * time.Second
	// syncWait is how long a source holds a follower's call when there is
	// nothing new. It bounds how long a lost source goes unnoticed.
	syncWait = 500 * time.Millisecond
	// directAge is the age from which a VM that is not elected reads the store
	// itself. Until then it asks all other VMs.
	directAge = 3500 * time.Millisecond
	// directTime is how long a VM that lost its source reads the store itself
	// before it tries to follow again.
	directTime = 2 * time.Second
	// startTime is how long a VM reads the store itself after its start, beyond
	// its first copy: until it has found a VM to follow. All VMs may start at the
	// same time, and calls are charged.
	startTime = 300 * time.Millisecond
)

// Message is an input of the replica.
type Message interface{ message() }

// Fetched brings a batch.
type Fetched struct{ Batch Batch }

// Lost tells that the VM's own reading of the store fails.
type Lost struct{}

// Ask is a follower's call. Reply has room for one answer.
type Ask struct {
	Have  []Position
	Until core.Instant
	Reply chan<- Reply
}

// Reply is the answer to an Ask. AsOf of its batches is this VM's clock.
type Reply struct {
	Batches []Batch
	// Direct is set if the VM reads the store itself at present.
	Direct bool
}

// Elected says whether this VM is to read the store for its failure domain.
type Elected struct{ Reader bool }

// Tick advances time.
type Tick struct{}

func (Fetched) message() {}
func (Lost) message()    {}
func (Ask) message()     {}
func (Elected) message() {}
func (Tick) message()    {}

// Output is what the replica wants done.
type Output interface{ output() }

// Changed tells the other duties of new records, or, with none, of a newer
// time as of which the copy holds.
type Changed struct {
	Stream  Stream
	Records []Record
	Next    int64
	AsOf    core.Instant
	Source  string
}

// Answer sends a Reply.
type Answer struct {
	To    chan<- Reply
	Reply Reply
}

// Reading starts or stops this VM's own reading of the store. Eager is set if
// other VMs rely on it.
type Reading struct{ On, Eager bool }

// Following starts or stops this VM's calls to other VMs.
type Following struct{ On bool }

func (Changed) output()   {}
func (Answer) output()    {}
func (Reading) output()   {}
func (Following) output() {}

// Replica is the state machine.
type Replica struct {
	copy      *Copy
	waiting   []Ask
	elected   bool
	reading   Reading
	following bool
	// lost is set while the VM's own reading of the store fails.
	lost bool
	// started is set once all streams were known.
	started bool
	// direct is until when the VM reads the store although another is elected.
	direct core.Instant
}

// New returns a replica that reads the store until another VM is elected.
func New() *Replica { return &Replica{copy: NewCopy(), elected: true} }

// Step implements duty.Step.
func (r *Replica) Step(now core.Instant, m Message) []Output {
	var out []Output
	switch m := m.(type) {
	case Fetched:
		if m.Batch.Source == fromStore && m.Batch.Stream == Owners {
			r.lost = false
		}
		out = r.fetched(m.Batch)
	case Lost:
		r.lost = true
	case Ask:
		r.waiting = append(r.waiting, m)
	case Elected:
		r.elected = m.Reader
	case Tick:
	}
	out = append(out, r.answer(now)...)
	return append(out, r.source(now)...)
}

func (r *Replica) fetched(b Batch) []Output {
	changed := r.copy.Apply(b)
	asOf, _ := r.copy.AsOf(b.Stream)
	return []Output{Changed{Stream: b.Stream, Records: changed, Next: r.copy.Next(b.Stream), AsOf: asOf, Source: b.Source}}
}

// answer replies to the followers for whom there is something new or whose
// time is over.
func (r *Replica) answer(now core.Instant) []Output {
	var out []Output
	kept := r.waiting[:0]
	for _, a := range r.waiting {
		if now.Before(a.Until) && !r.behind(a.Have) {
			kept = append(kept, a)
			continue
		}
		out = append(out, Answer{To: a.Reply, Reply: Reply{Batches: r.batches(a.Have), Direct: r.reading.On && !r.lost}})
	}
	r.waiting = kept
	return out
}

func (r *Replica) behind(have []Position) bool {
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

// age returns how long ago the VM last heard of the store, over whichever
// source and stream, or staleAge while a stream was never read.
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

func (r *Replica) source(now core.Instant) []Output {
	age := r.age(now)
	stale := age >= staleAge
	switch {
	case !r.started:
		r.direct = now.Add(startTime)
	case age >= directAge:
		r.direct = now.Add(directTime)
	}
	r.started = r.started || age < staleAge
	reading := r.elected || now.Before(r.direct)
	following := !r.elected || stale || r.lost
	var out []Output
	if want := (Reading{On: reading, Eager: r.elected}); want != r.reading {
		r.reading = want
		out = append(out, want)
	}
	if following != r.following {
		r.following = following
		out = append(out, Following{On: following})
	}
	return out
}
