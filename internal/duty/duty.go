// Package duty runs the duties of a process. A duty is one long-lived
// goroutine that alone touches its state: it takes a message from its ring,
// calls a pure step with the clock reading taken at that moment, and hands
// the outputs on. Steps do no I/O; outputs that need it go to a Pool.
package duty

import (
	"context"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/ring"
)

// Clock returns the present reading of a monotonic clock.
type Clock func() core.Instant

// NewClock returns a clock that counts from now.
func NewClock() Clock {
	start := time.Now()
	return func() core.Instant { return core.Instant(time.Since(start)) }
}

// Step is a state machine: it changes its state by a message and returns what
// is to be done. It must not block, read a clock or keep the outputs.
type Step[M, O any] interface {
	Step(now core.Instant, m M) []O
}

// Duty runs one Step.
type Duty[M, O any] struct {
	name  string
	ring  *ring.Ring[M]
	step  Step[M, O]
	emit  func(context.Context, O)
	clock Clock
	tick  M
	every time.Duration
}

// New returns a duty that reads from in, passes the outputs to emit and, if
// every is positive, steps with tick at that interval. Emit runs on the
// duty's goroutine; it must not wait for I/O.
func New[M, O any](name string, clock Clock, in *ring.Ring[M], step Step[M, O], emit func(context.Context, O), tick M, every time.Duration) *Duty[M, O] {
	return &Duty[M, O]{name: name, ring: in, step: step, emit: emit, clock: clock, tick: tick, every: every}
}

// Name returns the duty's name.
func (d *Duty[M, O]) Name() string { return d.name }

// Run steps until the context ends.
func (d *Duty[M, O]) Run(ctx context.Context) {
	var ticks <-chan time.Time
	if d.every > 0 {
		t := time.NewTicker(d.every)
		defer t.Stop()
		ticks = t.C
	}
	for {
		m := d.tick
		select {
		case <-ctx.Done():
			return
		case m = <-d.ring.C():
		case <-ticks:
		}
		for _, o := range d.step.Step(d.clock(), m) {
			d.emit(ctx, o)
		}
	}
}

// Pool is a fixed number of goroutines that carry out I/O for a duty. They
// own no state; a task posts its result to the ring of the duty that wants it.
type Pool struct {
	ring *ring.Ring[func(context.Context)]
	size int
}

// NewPool returns a pool of size goroutines with a ring of the given capacity.
func NewPool(name string, size, capacity int) *Pool {
	return &Pool{ring: ring.New[func(context.Context)](name, capacity, ring.Refuse), size: size}
}

// Submit queues a task. It returns ring.ErrFull when the ring is full.
func (p *Pool) Submit(ctx context.Context, task func(context.Context)) error {
	return p.ring.Put(ctx, task)
}

// Ring returns the pool's ring, for metrics.
func (p *Pool) Ring() *ring.Ring[func(context.Context)] { return p.ring }

// Size returns the number of goroutines.
func (p *Pool) Size() int { return p.size }

// Run carries out tasks until the context ends; the caller runs it Size times.
func (p *Pool) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-p.ring.C():
			task(ctx)
		}
	}
}
