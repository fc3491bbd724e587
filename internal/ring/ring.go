// Package ring provides the bounded queues that connect the duties of a process.
// A ring is a buffered channel with an overflow policy, and with metrics for its
// depth and for rejected and discarded messages. It has a single consumer, a
// duty, which blocks in a channel receive while the ring is empty.
package ring

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
)

// OverflowPolicy determines what Put does when the ring is full.
type OverflowPolicy uint8

const (
	// Block blocks the producer until there is room or its context is done.
	Block OverflowPolicy = iota
	// Reject returns ErrFull.
	Reject
	// DropOldest discards the oldest message. It suits messages that are
	// superseded by later ones, such as heartbeats.
	DropOldest
)

// ErrFull is returned by Put on a full ring with the policy Reject.
var ErrFull = errors.New("ring: full")

// Ring is a bounded queue with many producers and one consumer.
type Ring[T any] struct {
	name    string
	policy  OverflowPolicy
	ch      chan T
	dropped atomic.Uint64
}

// New returns a ring. It panics if capacity is not positive.
func New[T any](name string, capacity int, policy OverflowPolicy) *Ring[T] {
	if capacity <= 0 {
		panic(fmt.Sprintf("ring: %s: capacity %d is not positive", name, capacity))
	}
	return &Ring[T]{name: name, policy: policy, ch: make(chan T, capacity)}
}

// Put adds a message according to the ring's overflow policy. The error is
// ErrFull or the cause of the context's cancellation.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	switch r.policy {
	case Reject:
		if !r.TryPut(v) {
			return fmt.Errorf("%s: %w", r.name, ErrFull)
		}
		return nil
	case DropOldest:
		for {
			select {
			case r.ch <- v:
				return nil
			default:
			}
			select {
			case <-r.ch:
				r.dropped.Add(1)
			default:
			}
		}
	default:
		return r.PutBlocking(ctx, v)
	}
}

// PutBlocking adds a message and blocks while the ring is full until the context
// is done, regardless of the overflow policy. It is intended for I/O goroutines,
// which may block.
func (r *Ring[T]) PutBlocking(ctx context.Context, v T) error {
	select {
	case r.ch <- v:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%s: %w", r.name, context.Cause(ctx))
	}
}

// TryPut adds a message unless the ring is full, regardless of the overflow
// policy, and reports whether it did. It is for messages that flow against the
// usual direction, where blocking could deadlock two duties.
func (r *Ring[T]) TryPut(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// C returns the channel from which the consumer receives.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Name returns the ring's name in metrics.
func (r *Ring[T]) Name() string { return r.name }

// Len returns the number of queued messages.
func (r *Ring[T]) Len() int { return len(r.ch) }

// Dropped returns the number of messages that were rejected or discarded.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
