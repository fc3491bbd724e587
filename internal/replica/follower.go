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
	// peerTimeout bounds a call to a source beyond the time that it holds it.
	peerTimeout = 400 * time.Millisecond
	// followPause is the least time between two calls to the same source. It
	// bounds a follower's share of its source's processor time.
	followPause = 20 * time.Millisecond
	// retryPause follows a call that failed or brought nothing newer.
	retryPause = 100 * time.Millisecond
)

// Peer asks another VM for what is new. The batches' AsOf is on this VM's
// clock.
type Peer interface {
	Sync(ctx context.Context, have []Position, wait time.Duration) ([]Batch, error)
	Name() core.VM
}

// Sources returns the VMs to follow, best first. The attempt counts up while
// the last ones were of no use.
type Sources func(attempt int) Peer

// Follower copies all streams from another VM while it is on.
type Follower struct {
	sources Sources
	out     *ring.Ring[Message]
	clock   duty.Clock
	log     logr.Logger
	on      atomic.Bool
	next    [NumStreams]atomic.Int64
}

// NewFollower returns a follower that is off.
func NewFollower(sources Sources, out *ring.Ring[Message], clock duty.Clock, log logr.Logger) *Follower {
	return &Follower{sources: sources, out: out, clock: clock, log: log}
}

// Turn switches the follower on or off.
func (f *Follower) Turn(on bool) { f.on.Store(on) }

// Advance notes how far the copy of a stream goes.
func (f *Follower) Advance(s Stream, next int64) { f.next[s].Store(next) }

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	attempt := 0
	var current core.VM
	for ctx.Err() == nil {
		if !f.on.Load() {
			sleep(ctx, idlePoll)
			continue
		}
		peer := f.sources(attempt)
		if peer == nil {
			attempt = 0
			sleep(ctx, retryPause)
			continue
		}
		fresh, err := f.sync(ctx, peer)
		if err != nil || !fresh {
			attempt++
			if peer.Name() == current {
				f.log.Info("source of the copy lost", "vm", current, "fresh", fresh, "reason", reason(err))
				current = ""
			}
			sleep(ctx, retryPause)
			continue
		}
		if attempt > 0 || current != peer.Name() {
			f.log.Info("following", "vm", peer.Name())
		}
		current, attempt = peer.Name(), 0
		sleep(ctx, followPause)
	}
}

func reason(err error) string {
	if err == nil {
		return "nothing newer"
	}
	return err.Error()
}

// sync makes one call and reports whether the source's copy is fresh.
func (f *Follower) sync(ctx context.Context, p Peer) (bool, error) {
	have := make([]Position, NumStreams)
	for i := range have {
		have[i] = Position{Stream: Stream(i), Next: f.next[i].Load()}
	}
	call, cancel := context.WithTimeout(ctx, syncWait+peerTimeout)
	defer cancel()
	batches, err := p.Sync(call, have, syncWait)
	if err != nil {
		return false, err
	}
	fresh := false
	now := f.clock()
	for _, b := range batches {
		b.AsOf = min(b.AsOf, now)
		b.Source = string(p.Name())
		fresh = fresh || now.Sub(b.AsOf) < staleAge
		if err := f.out.Wait(ctx, Fetched{Batch: b}); err != nil {
			return false, err
		}
	}
	return fresh, nil
}
