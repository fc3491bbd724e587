package replica

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/ring"
)

// readWait is how long the store holds a read when there is nothing new. The
// assigner writes every second, so a reader of Owners hears from the store at
// least that often. A connection that fell silent is noticed only after the
// wait, so it must stay well under the time in which changes must be in force.
var readWait = [NumStreams]time.Duration{
	Config:  1200 * time.Millisecond,
	Targets: 1200 * time.Millisecond,
	Owners:  1200 * time.Millisecond,
	Members: 2500 * time.Millisecond,
}

// Callers of the store are charged by call, so a reader pauses between reads
// of a busy stream. The pauses bound how late a change arrives.
var readPause = [NumStreams]time.Duration{
	Config:  150 * time.Millisecond,
	Targets: 250 * time.Millisecond,
	Owners:  20 * time.Millisecond,
	Members: 900 * time.Millisecond,
}

const (
	// callTimeout bounds a call beyond the time that the store may hold it. A
	// slow store answers within about 300 ms.
	callTimeout = 800 * time.Millisecond
	// answerDelay is how long an answer with records is taken to have been on its
	// way, as the store doesn't say when it gave it. Ages may be wrong by the
	// rest of callTimeout, which the assigner's waits allow for.
	answerDelay = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed read.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// lostBackoff is the pause of the other streams while Owners fails too.
	lostBackoff = 1200 * time.Millisecond
	// ownBackoff is the pause on a VM that reads only for itself. All VMs may do
	// so at the same time in an outage.
	ownBackoff = 2500 * time.Millisecond
	// idlePoll is how often a reader that is off looks whether it is wanted.
	idlePoll = 50 * time.Millisecond
)

// fromStore is the source of batches that this VM read itself.
const fromStore = "store"

// Reader copies one stream from the store while it is on.
type Reader struct {
	stream Stream
	store  Store
	out    *ring.Ring[Message]
	clock  duty.Clock
	log    logr.Logger
	on     atomic.Bool
	// eager is set on a VM that reads for others.
	eager atomic.Bool
	next  atomic.Int64
	lost  atomic.Bool
	// probe is the reader that tries most while the store is lost; nil for itself.
	probe *Reader
}

// NewReaders returns a reader for each stream, all of them off. While the store
// is lost only the one of Owners tries often, as failed calls are charged too.
func NewReaders(store Store, out *ring.Ring[Message], clock duty.Clock, log logr.Logger) [NumStreams]*Reader {
	var all [NumStreams]*Reader
	for i := range all {
		all[i] = &Reader{stream: Stream(i), store: store, out: out, clock: clock, log: log}
		all[i].next.Store(-1)
	}
	for _, r := range all {
		if r.stream != Owners {
			r.probe = all[Owners]
		}
	}
	return all
}

// Turn switches the reader on or off. An eager one tries a lost store often; a
// VM that reads only for itself leaves that to others.
func (r *Reader) Turn(on, eager bool) {
	r.on.Store(on)
	r.eager.Store(eager)
}

// Advance moves the reader past records that came from elsewhere.
func (r *Reader) Advance(next int64) {
	if next > r.next.Load() {
		r.next.Store(next)
	}
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if !r.on.Load() {
			duty.Sleep(ctx, idlePoll)
			continue
		}
		busy, err := r.read(ctx)
		if err != nil {
			r.failed(ctx, err)
			duty.Sleep(ctx, r.pause(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		if r.lost.Swap(false) {
			r.log.Info("store reachable again", "stream", r.stream.String())
		}
		if busy {
			duty.Sleep(ctx, readPause[r.stream])
		}
	}
}

// pause returns how long to wait after a failed read. While the store is lost
// as a whole, one stream tries often enough.
func (r *Reader) pause(backoff time.Duration) time.Duration {
	eager := r.eager.Load()
	switch {
	case r.probe != nil && r.probe.lost.Load() && eager:
		return lostBackoff
	case r.probe != nil && r.probe.lost.Load():
		return 2 * ownBackoff
	case !eager:
		return ownBackoff
	}
	return backoff
}

func (r *Reader) failed(ctx context.Context, err error) {
	if errors.Is(err, ErrExpired) {
		r.next.Store(-1)
	}
	if r.stream == Owners {
		_ = r.out.PutBlocking(ctx, Lost{}) // ends only with the context
	}
	if ctx.Err() == nil && !r.lost.Swap(true) {
		r.log.Info("store lost", "stream", r.stream.String(), "reason", err.Error())
	}
}

// read makes one call and reports whether it brought records.
func (r *Reader) read(ctx context.Context) (bool, error) {
	from := r.next.Load()
	start := r.clock()
	b := Batch{Stream: r.stream, Source: fromStore}
	var err error
	if from < 0 {
		call, cancel := context.WithTimeout(ctx, 2*callTimeout)
		defer cancel()
		b.Complete = true
		b.Records, b.Next, err = r.store.Newest(call, r.stream)
		b.AsOf = start
	} else {
		call, cancel := context.WithTimeout(ctx, callTimeout+readWait[r.stream])
		defer cancel()
		b.Records, b.Next, err = r.store.Read(call, r.stream, from, readWait[r.stream])
		if b.AsOf = start.Add(readWait[r.stream]); len(b.Records) > 0 {
			b.AsOf = max(start, r.clock().Add(-answerDelay))
		}
	}
	if err != nil {
		return false, err
	}
	r.Advance(b.Next)
	if err := r.out.PutBlocking(ctx, Fetched{Batch: b}); err != nil {
		return false, err
	}
	return len(b.Records) > 0, nil
}
