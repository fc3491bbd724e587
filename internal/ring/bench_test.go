package ring

import (
	"context"
	"runtime"
	"testing"
)

type request struct{ reply chan int }

func benchmarkAsk(b *testing.B, locked bool) {
	ctx := context.Background()
	r := New[request]("bench", 1024, Block)
	done := make(chan struct{})
	go func() {
		if locked {
			runtime.LockOSThread()
		}
		for {
			select {
			case req := <-r.C():
				req.reply <- 1
			case <-done:
				return
			}
		}
	}()
	defer close(done)
	b.Run("idle", func(b *testing.B) {
		req := request{reply: make(chan int, 1)}
		for b.Loop() {
			_ = r.Put(ctx, req)
			<-req.reply
		}
	})
	b.Run("busy", func(b *testing.B) {
		b.SetParallelism(16)
		b.RunParallel(func(pb *testing.PB) {
			req := request{reply: make(chan int, 1)}
			for pb.Next() {
				_ = r.Put(ctx, req)
				<-req.reply
			}
		})
	})
}
