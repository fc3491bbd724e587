package replica

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/ring"
)

const (
	// peerTimeout is the time-out of a request to a source, in addition to the
	// time for which the source may hold it.
	peerTimeout = 400 * time.Millisecond
	// syncPause is the pause between requests. It bounds the share of the
	// source's processor time that a follower uses.
	syncPause = 20 * time.Millisecond
	// syncDelay is the transit time of a reply that a follower accepts in addition
	// to the age at which a source stops being one.
	syncDelay = 200 * time.Millisecond
	// preferredRetryTime is how long a VM follows a source that is not its first
	// choice before it tries the first choice again.
	preferredRetryTime = 4 * time.Second
	// noSourcePause is the pause while no other VM is known.
	noSourcePause = 50 * time.Millisecond
	// roundPause is the pause after all sources were tried and none was usable.
	roundPause = 250 * time.Millisecond
)

// Peer requests new records from another VM. AsOf of the batches is on this VM's
// clock.
type Peer interface {
	Sync(ctx context.Context, have []Position, wait time.Duration) (SyncReply, error)
	Name() core.VM
}

// Sources returns the n-th VM to follow, in order of preference, and how many
// there are.
type Sources func(n int) (Peer, int)

// Follower copies all streams from another VM while it is enabled.
type Follower struct {
	sources Sources
	out     *ring.Ring[Message]
	clock   duty.Clock
	log     logr.Logger
	enabled toggle
	next    [NumStreams]atomic.Int64
}

// NewFollower returns a follower that is disabled.
func NewFollower(sources Sources, out *ring.Ring[Message], clock duty.Clock, log logr.Logger) *Follower {
	return &Follower{sources: sources, out: out, clock: clock, log: log, enabled: newToggle()}
}

// SetEnabled switches the follower on or off.
func (f *Follower) SetEnabled(enabled bool) { f.enabled.set(enabled) }

// Advance sets the offset from which records of a stream are requested.
func (f *Follower) Advance(s Stream, next int64) { f.next[s].Store(next) }

// Run copies until the context ends. It follows one source as long as the source
// reads the store itself and has a fresh copy of every stream; otherwise it tries
// all in turn.
func (f *Follower) Run(ctx context.Context) {
	choice, following, lost := 0, false, false
	var followingSince core.Instant
	for f.enabled.wait(ctx) {
		if choice > 0 && following && f.clock().Sub(followingSince) > preferredRetryTime {
			choice, following = 0, false
		}
		peer, count := f.sources(choice)
		if peer == nil {
			duty.Sleep(ctx, noSourcePause)
			continue
		}
		wait := time.Duration(0)
		if following {
			wait = syncWait
		}
		usable, err := f.sync(ctx, peer, wait)
		switch {
		case usable && !following:
			following, followingSince, lost = true, f.clock(), false
			f.log.Info("following", "vm", peer.Name(), "choice", choice)
		case usable:
		default:
			if following {
				lost = true
				_ = f.out.PutBlocking(ctx, SourceLost{}) // fails only if the context ends
				f.log.Info("source of the copy lost", "vm", peer.Name(), "reason", reason(err))
			}
			following = false
			if choice++; choice >= count {
				choice = 0
				if lost {
					_ = f.out.PutBlocking(ctx, NoSource{}) // fails only if the context ends
				}
				duty.Sleep(ctx, roundPause)
			}
		}
		duty.Sleep(ctx, syncPause)
	}
}

func reason(err error) string {
	if err == nil {
		return "its copy is stale or not read from the store directly"
	}
	return err.Error()
}

// sync sends one request and reports whether to keep following the source.
func (f *Follower) sync(ctx context.Context, p Peer, wait time.Duration) (bool, error) {
	have := make([]Position, NumStreams)
	for i := range have {
		have[i] = Position{Stream: Stream(i), Next: f.next[i].Load()}
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	reply, err := p.Sync(callCtx, have, wait)
	if err != nil {
		return false, err
	}
	fresh := len(reply.Batches) > 0
	now := f.clock()
	for _, b := range reply.Batches {
		b.AsOf = min(b.AsOf, now)
		b.Source = string(p.Name())
		fresh = fresh && now.Sub(b.AsOf) < staleAge[b.Stream]+syncDelay
		if err := f.out.PutBlocking(ctx, Fetched{Batch: b}); err != nil {
			return false, err
		}
	}
	return fresh && reply.Direct, nil
}
