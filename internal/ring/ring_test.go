package ring

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against a full ring that grows, blocks a producer that must not wait,
// or loses the newest message.
func TestPutOnFullRing(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())

	refuse := New[int]("refuse", 1, Refuse)
	is.NoErr(refuse.Put(ctx, 1))
	is.True(errors.Is(refuse.Put(ctx, 2), ErrFull))
	is.Equal(refuse.Dropped(), uint64(1))

	drop := New[int]("drop", 1, DropOldest)
	is.NoErr(drop.Put(ctx, 1))
	is.NoErr(drop.Put(ctx, 2))
	is.Equal(<-drop.C(), 2)
	is.Equal(drop.Dropped(), uint64(1))

	block := New[int]("block", 1, Block)
	is.NoErr(block.Put(ctx, 1))
	cancel()
	is.True(errors.Is(block.Put(ctx, 2), context.Canceled))
	is.Equal(block.Len(), 1)
}

// BenchmarkAsk measures a request and its reply through a ring to one
// goroutine, free or locked to an OS thread; docs/MEASUREMENTS.md quotes it.
func BenchmarkAsk(b *testing.B) {
	b.Run("goroutine", func(b *testing.B) { benchmarkAsk(b, false) })
	b.Run("locked", func(b *testing.B) { benchmarkAsk(b, true) })
}
