package ring

import (
	"context"
	"runtime"
	"testing"
)

type question struct{ reply chan int }

func benchmarkAsk(b *testing.B, locked bool) {
	ctx := context.Background()
	r := New[question]("bench", 1024, Block)
	done := make(chan struct{})
	go func() {
		if locked {
			runtime.LockOSThread()
		}
		for {
			select {
			case q := <-r.C():
				q.reply <- 1
			case <-done:
				return
			}
		}
	}()
	defer close(done)
	b.Run("idle", func(b *testing.B) {
		q := question{reply: make(chan int, 1)}
		for b.Loop() {
			_ = r.Put(ctx, q)
			<-q.reply
		}
	})
	b.Run("busy", func(b *testing.B) {
		b.SetParallelism(16)
		b.RunParallel(func(pb *testing.PB) {
			q := question{reply: make(chan int, 1)}
			for pb.Next() {
				_ = r.Put(ctx, q)
				<-q.reply
			}
		})
	})
}
