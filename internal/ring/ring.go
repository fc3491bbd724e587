// Package ring provides the bounded rings that join the duties of a process.
// A ring is a buffered channel with a rule for when it is full and counters
// for its depth and for what the rule turned away. Its consumer is one duty,
// which sleeps in a channel receive while the ring is empty.
package ring

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
)

// Rule says what Put does when the ring is full.
type Rule uint8

const (
	// Block holds the producer until there is room or its context ends.
	Block Rule = iota
	// Refuse returns ErrFull.
	Refuse
	// DropOldest discards the oldest message. It suits messages that later
	// ones replace, such as heartbeats.
	DropOldest
)

// ErrFull is returned by Put on a full ring with the rule Refuse.
var ErrFull = errors.New("ring: full")

// Ring is a bounded queue with many producers and one consumer.
type Ring[T any] struct {
	name    string
	rule    Rule
	ch      chan T
	dropped atomic.Uint64
}

// New returns a ring. Capacity must be positive.
func New[T any](name string, capacity int, rule Rule) *Ring[T] {
	if capacity <= 0 {
		panic(fmt.Sprintf("ring: %s: capacity %d is not positive", name, capacity))
	}
	return &Ring[T]{name: name, rule: rule, ch: make(chan T, capacity)}
}

// Put adds a message by the ring's rule. The error is ErrFull or the
// context's.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	switch r.rule {
	case Refuse:
		if !r.Offer(v) {
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
		return r.Wait(ctx, v)
	}
}

// Wait adds a message and, whatever the rule, waits for room until the context
// ends. It is for edges, whose goroutines may wait.
func (r *Ring[T]) Wait(ctx context.Context, v T) error {
	select {
	case r.ch <- v:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%s: %w", r.name, context.Cause(ctx))
	}
}

// Offer adds a message unless the ring is full, whatever the rule, and reports
// whether it did. It is for messages that go against the usual direction, so
// that two duties never wait for each other.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// C returns the channel that the consumer receives from.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Name returns the name that metrics use.
func (r *Ring[T]) Name() string { return r.name }

// Len returns the number of messages waiting.
func (r *Ring[T]) Len() int { return len(r.ch) }

// Dropped returns how many messages the rule has turned away or discarded.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
