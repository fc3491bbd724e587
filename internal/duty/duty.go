// Package duty runs the duties of a process. A duty is a long-lived goroutine
// with exclusive access to its state: it receives a message from its ring, calls
// a step function with the current time, and passes on the outputs. Steps do no
// I/O; outputs that need it are submitted to a Pool.
package duty

import (
	"context"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/ring"
)

// Clock returns the current reading of a monotonic clock.
type Clock func() core.Instant

// NewClock returns a clock that starts at zero.
func NewClock() Clock {
	start := time.Now()
	return func() core.Instant { return core.Instant(time.Since(start)) }
}

// Step is a state machine: it applies a message to its state and returns the
// resulting outputs. It must not block, read a clock or retain the outputs.
type Step[M, O any] interface {
	Step(now core.Instant, m M) []O
}

// Duty runs a Step on messages from its ring.
type Duty[M, O any] struct {
	name         string
	ring         *ring.Ring[M]
	step         Step[M, O]
	emit         func(context.Context, O)
	clock        Clock
	tick         M
	tickInterval time.Duration
}

// New returns a duty that receives from in, passes the outputs to emit and, if
// tickInterval is positive, steps with tick at that interval. Emit runs on the
// duty's goroutine and must not wait for I/O.
func New[M, O any](name string, clock Clock, in *ring.Ring[M], step Step[M, O], emit func(context.Context, O), tick M, tickInterval time.Duration) *Duty[M, O] {
	return &Duty[M, O]{name: name, ring: in, step: step, emit: emit, clock: clock, tick: tick, tickInterval: tickInterval}
}

func (d *Duty[M, O]) Name() string { return d.name }

// Run processes messages and ticks until the context is done.
func (d *Duty[M, O]) Run(ctx context.Context) {
	var ticks <-chan time.Time
	if d.tickInterval > 0 {
		t := time.NewTicker(d.tickInterval)
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

// Pool is a fixed number of goroutines that perform I/O for a duty. They have no
// state; a task puts its result into the ring of the duty that needs it.
type Pool struct {
	ring *ring.Ring[func(context.Context)]
	size int
}

// NewPool returns a pool of size goroutines whose queue has the given capacity.
func NewPool(name string, size, capacity int) *Pool {
	return &Pool{ring: ring.New[func(context.Context)](name, capacity, ring.Reject), size: size}
}

// Submit queues a task. The error wraps ring.ErrFull if the queue is full.
func (p *Pool) Submit(ctx context.Context, task func(context.Context)) error {
	return p.ring.Put(ctx, task)
}

// Ring returns the pool's ring, for metrics.
func (p *Pool) Ring() *ring.Ring[func(context.Context)] { return p.ring }

// Size returns the number of goroutines in the pool.
func (p *Pool) Size() int { return p.size }

// Run executes tasks until the context is done. The caller starts it in Size
// goroutines.
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
