package replica

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/ring"
)

// readWait bounds the time from that as of which the copy is current to the next
// response of the store. The store holds a read for the rest of it while there are
// no new records. A dead connection is detected only after the wait, so it must
// stay well below the time in which changes have to take effect. The leader writes
// to Owners about every second, so a reader of Owners usually gets a response
// that often.
var readWait = [NumStreams]time.Duration{
	Config:  1100 * time.Millisecond,
	Targets: 1100 * time.Millisecond,
	Owners:  1400 * time.Millisecond,
	Members: 2500 * time.Millisecond,
}

// readPause is the pause after a read that returned records. Each call to the
// store is charged, so the pauses limit the calls on a busy stream; they also
// bound the delay of a change.
var readPause = [NumStreams]time.Duration{
	Config:  150 * time.Millisecond,
	Targets: 250 * time.Millisecond,
	Owners:  20 * time.Millisecond,
	Members: 900 * time.Millisecond,
}

const (
	// callTimeout is the time-out of a call, in addition to the time for which
	// the store may hold it. A slow store responds within about 300 ms.
	callTimeout = 800 * time.Millisecond
	// responseDelay is the assumed transit time of a response with records, as the
	// store doesn't state when it sent it. Ages may be too low by the rest of
	// callTimeout, which the waits of the assigner allow for.
	responseDelay = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed read.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// minReadWait is the shortest wait of a read at the store.
	minReadWait = 300 * time.Millisecond
	// outageBackoff is the pause of the readers of other streams while that of
	// Owners fails as well.
	outageBackoff = 1200 * time.Millisecond
	// recheckMargin is how long after rewriteTime a stream is read completely once
	// more. It covers the time from the first sight of an era at another VM.
	recheckMargin = 500 * time.Millisecond
	// lazyBackoff is the pause of a reader that is not eager. In an outage all
	// VMs may read the store at the same time.
	lazyBackoff = 2500 * time.Millisecond
)

// fromStore is the Source of batches that this VM read from the store.
const fromStore = "store"

// Reader copies one stream from the store while it is enabled.
type Reader struct {
	stream  Stream
	store   Store
	out     *ring.Ring[Message]
	clock   duty.Clock
	log     logr.Logger
	enabled toggle
	// eager is set if other VMs rely on this reader.
	eager atomic.Bool
	// next is the offset to read from, or negative before the first complete read.
	next atomic.Int64
	// failing is set while reads fail.
	failing atomic.Bool
	// asOf is the time as of which the last response was current. Only Run uses it.
	asOf core.Instant
	// era is the era of the last read, or negative before the first one. Only
	// Run uses it.
	era int64
	// recheckAt is when the stream is to be read completely once more, or 0. Only
	// Run uses it.
	recheckAt core.Instant
	// ownersReader is the reader of Owners, which retries most often while the
	// store is unreachable; nil in that reader itself.
	ownersReader *Reader
}

// NewReaders returns a reader for each stream, all of them disabled. While the
// store is unreachable, only the one of Owners retries often, as failed calls are
// charged too.
func NewReaders(store Store, out *ring.Ring[Message], clock duty.Clock, log logr.Logger) [NumStreams]*Reader {
	var all [NumStreams]*Reader
	for i := range all {
		all[i] = &Reader{stream: Stream(i), store: store, out: out, clock: clock, log: log, enabled: newToggle(), era: -1}
		all[i].next.Store(-1)
	}
	for _, r := range all {
		if r.stream != Owners {
			r.ownersReader = all[Owners]
		}
	}
	return all
}

// SetEnabled switches the reader on or off. An eager reader retries often while
// the store is unreachable.
func (r *Reader) SetEnabled(enabled, eager bool) {
	r.eager.Store(eager)
	r.enabled.set(enabled)
}

// Advance skips records that were received from another source.
func (r *Reader) Advance(next int64) {
	if next > r.next.Load() {
		r.next.Store(next)
	}
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	backoff := minBackoff
	for r.enabled.wait(ctx) {
		pause, err := r.read(ctx)
		if err != nil {
			r.failed(ctx, err)
			duty.Sleep(ctx, r.pause(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		if r.failing.Swap(false) {
			r.log.Info("store reachable again", "stream", r.stream.String())
		}
		if pause {
			duty.Sleep(ctx, readPause[r.stream])
		}
	}
}

// pause returns how long to wait after a failed read. The readers of other
// streams wait longer while the one of Owners fails, as one reader suffices to
// detect that the store is reachable again.
func (r *Reader) pause(backoff time.Duration) time.Duration {
	eager := r.eager.Load()
	switch {
	case r.ownersReader != nil && r.ownersReader.failing.Load() && eager:
		return outageBackoff
	case r.ownersReader != nil && r.ownersReader.failing.Load():
		return 2 * lazyBackoff
	case !eager:
		return lazyBackoff
	}
	return backoff
}

func (r *Reader) failed(ctx context.Context, err error) {
	_ = r.out.PutBlocking(ctx, ReadFailed{Stream: r.stream}) // fails only if the context ends
	if ctx.Err() == nil && !r.failing.Swap(true) {
		r.log.Info("store lost", "stream", r.stream.String(), "reason", err.Error())
	}
}

// read reads on from the reader's position, or reads the whole stream if that is
// not possible. It reports whether to pause before the next read: it returned the
// last records of the stream.
func (r *Reader) read(ctx context.Context) (bool, error) {
	from := r.next.Load()
	if r.needsAll(from) {
		return r.readAll(ctx)
	}
	r.era = Era(from)
	pause, err := r.readFrom(ctx, from)
	if errors.Is(err, ErrExpired) || errors.Is(err, ErrEraChanged) {
		// Nothing that other VMs report may defer the complete read: they may hold
		// the same position.
		r.log.Info("reading the whole stream", "stream", r.stream.String(), "era", Era(from), "index", Index(from), "reason", err.Error())
		return r.readAll(ctx)
	}
	return pause, err
}

// needsAll reports whether the whole stream has to be read: at the start, in a new
// era of the store, and once more when what was lost has been written again.
func (r *Reader) needsAll(from int64) bool {
	return from < 0 || r.era >= 0 && Era(from) != r.era || r.recheckAt != 0 && !r.clock().Before(r.recheckAt)
}

func (r *Reader) readAll(ctx context.Context) (bool, error) {
	b := Batch{Stream: r.stream, Source: fromStore, Complete: true, AsOf: r.clock()}
	callCtx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	var err error
	if b.Records, b.Next, err = r.store.Newest(callCtx, r.stream); err != nil {
		return false, err
	}
	r.recheckAt = 0
	if era := Era(b.Next); era != r.era {
		if r.era >= 0 {
			r.recheckAt = r.clock().Add(rewriteTime + recheckMargin)
		}
		r.era = era
	}
	return false, r.emit(ctx, b)
}

func (r *Reader) readFrom(ctx context.Context, from int64) (bool, error) {
	start := r.clock()
	wait := r.wait(start)
	callCtx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	b := Batch{Stream: r.stream, Source: fromStore}
	var end int64
	var err error
	if b.Records, b.Next, end, err = r.store.Read(callCtx, r.stream, from, wait); err != nil {
		return false, err
	}
	switch {
	case b.Next < end:
		// A long backlog, as after a partition, takes several reads. The copy is
		// out of date until the last of them.
		b.AsOf = 0
	case len(b.Records) > 0:
		b.AsOf = max(start, r.clock().Add(-responseDelay))
	default:
		b.AsOf = start.Add(wait)
	}
	return len(b.Records) > 0 && b.Next >= end, r.emit(ctx, b)
}

// emit sends a batch to the replica.
func (r *Reader) emit(ctx context.Context, b Batch) error {
	r.asOf = b.AsOf
	r.Advance(b.Next)
	return r.out.PutBlocking(ctx, Fetched{Batch: b})
}

// wait returns how long the store may hold a read that starts now.
func (r *Reader) wait(now core.Instant) time.Duration {
	longest := readWait[r.stream]
	return min(longest, max(minReadWait, longest-now.Sub(r.asOf)))
}
