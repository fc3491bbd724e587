package ring

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against a full ring that grows, blocks a producer that must not block,
// or loses the newest message.
func TestPutOnFullRing(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())

	reject := New[int]("refuse", 1, Reject)
	is.NoErr(reject.Put(ctx, 1))
	is.True(errors.Is(reject.Put(ctx, 2), ErrFull))
	is.Equal(reject.Dropped(), uint64(1))

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

// BenchmarkAsk measures a round trip through a ring to a goroutine that is or is
// not locked to an OS thread. docs/MEASUREMENTS.md quotes it.
func BenchmarkAsk(b *testing.B) {
	b.Run("goroutine", func(b *testing.B) { benchmarkAsk(b, false) })
	b.Run("locked", func(b *testing.B) { benchmarkAsk(b, true) })
}
