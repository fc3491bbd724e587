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
	// followAge is the age of a source's copy from which it is left for another
	// one: somewhat above the time between two words from the store.
	followAge = 1600 * time.Millisecond
	// returnTime is how long a VM stays with a source that is not its first
	// choice before it tries that one again.
	returnTime = 4 * time.Second
	// cyclePause follows a round over all sources of which none was good.
	cyclePause = 250 * time.Millisecond
)

// Peer asks another VM for what is new. The batches' AsOf is on this VM's
// clock.
type Peer interface {
	Sync(ctx context.Context, have []Position, wait time.Duration) (Reply, error)
	Name() core.VM
}

// Sources returns the n-th VM to follow, best first, and how many there are.
type Sources func(n int) (Peer, int)

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

// Run follows until the context ends. It stays with a source that reads the
// store itself and is fresh; as long as it finds none, it asks all in turn.
func (f *Follower) Run(ctx context.Context) {
	choice, found := 0, false
	var since core.Instant
	for ctx.Err() == nil {
		if !f.on.Load() {
			duty.Sleep(ctx, idlePoll)
			continue
		}
		if choice > 0 && found && f.clock().Sub(since) > returnTime {
			choice, found = 0, false
		}
		peer, count := f.sources(choice)
		if peer == nil {
			duty.Sleep(ctx, idlePoll)
			continue
		}
		wait := time.Duration(0)
		if found {
			wait = syncWait
		}
		good, err := f.sync(ctx, peer, wait)
		switch {
		case good && !found:
			found, since = true, f.clock()
			f.log.Info("following", "vm", peer.Name(), "choice", choice)
		case good:
		default:
			if found {
				f.log.Info("source of the copy lost", "vm", peer.Name(), "reason", reason(err))
			}
			found = false
			if choice++; choice >= count {
				choice = 0
				duty.Sleep(ctx, cyclePause)
			}
		}
		duty.Sleep(ctx, followPause)
	}
}

func reason(err error) string {
	if err == nil {
		return "it doesn't hear of the store itself"
	}
	return err.Error()
}

// sync makes one call and reports whether the source is good to stay with.
func (f *Follower) sync(ctx context.Context, p Peer, wait time.Duration) (bool, error) {
	have := make([]Position, NumStreams)
	for i := range have {
		have[i] = Position{Stream: Stream(i), Next: f.next[i].Load()}
	}
	call, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	reply, err := p.Sync(call, have, wait)
	if err != nil {
		return false, err
	}
	fresh := false
	now := f.clock()
	for _, b := range reply.Batches {
		b.AsOf = min(b.AsOf, now)
		b.Source = string(p.Name())
		fresh = fresh || now.Sub(b.AsOf) < followAge
		if err := f.out.PutBlocking(ctx, Fetched{Batch: b}); err != nil {
			return false, err
		}
	}
	return fresh && reply.Direct, nil
}
