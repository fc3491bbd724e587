package observe

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"

	"celeryhook.example/celeryhook/internal/ring"
)

const (
	// logRingCapacity is the number of lines that can wait to be written. If the
	// reader of the output is slow, lines are dropped instead of blocking the
	// caller.
	logRingCapacity = 4096
	// maxWaitingBytes bounds the lines that wait, and those being written.
	maxWaitingBytes = 4 << 20
	// linesPerSecond allows about two lines for each request that a small VM
	// serves; lineBurst allows the lines that are logged at startup.
	linesPerSecond = 600
	lineBurst      = 3000
	// flushInterval is the time for which lines are batched into one write.
	flushInterval = 100 * time.Millisecond
)

// NewBoundedLogger returns a logger that writes JSON lines to w from a
// background goroutine. Lines over the rate limit, the capacity of the ring or the
// bytes that may wait are dropped, and their number is logged. The returned function
// writes the remaining lines and stops the goroutine.
func NewBoundedLogger(w io.Writer) (logr.Logger, func()) {
	b := &boundedWriter{
		out: w, lines: ring.New[[]byte]("log", logRingCapacity, ring.Reject),
		limit: rate.NewLimiter(linesPerSecond, lineBurst), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go b.run()
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	z := zap.New(truncatingCore{zapcore.NewCore(zapcore.NewJSONEncoder(config), b, zapcore.InfoLevel)})
	return zapr.NewLogger(z), b.close
}

type boundedWriter struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	limit   *rate.Limiter
	dropped atomic.Int64
	// waiting counts the bytes of the lines that aren't written yet.
	waiting atomic.Int64
	once    sync.Once
	stop    chan struct{}
	done    chan struct{}
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (b *boundedWriter) Write(line []byte) (int, error) {
	if !b.put(line) {
		b.dropped.Add(1)
	}
	return len(line), nil
}

// put queues a line and reports whether there was room.
func (b *boundedWriter) put(line []byte) bool {
	if !b.limit.Allow() {
		return false
	}
	n := int64(len(line))
	if b.waiting.Add(n) <= maxWaitingBytes && b.lines.Put(context.Background(), bytes.Clone(line)) == nil {
		return true
	}
	b.waiting.Add(-n)
	return false
}

// Sync implements zapcore.WriteSyncer.
func (b *boundedWriter) Sync() error { return nil }

func (b *boundedWriter) run() {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines.C():
			b.flush(line)
			timer := time.NewTimer(flushInterval)
			select {
			case <-timer.C:
			case <-b.stop:
			}
			timer.Stop()
		case <-b.stop:
			b.flush(nil)
			return
		}
	}
}

// flush writes first and all queued lines in one call.
func (b *boundedWriter) flush(first []byte) {
	buffer := bytes.NewBuffer(first)
	for range b.lines.Len() {
		buffer.Write(<-b.lines.C())
	}
	written := int64(buffer.Len())
	defer func() { b.waiting.Add(-written) }()
	if n := b.dropped.Swap(0); n > 0 {
		fmt.Fprintf(buffer, "{\"level\":\"warn\",\"ts\":%q,\"msg\":\"log lines dropped\",\"count\":%d}\n", time.Now().Format(time.RFC3339Nano), n)
	}
	_, _ = b.out.Write(buffer.Bytes()) // a failed write of the log can't be reported anywhere
}

func (b *boundedWriter) close() {
	b.once.Do(func() { close(b.stop) })
	<-b.done
}
