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
	// logRing holds lines that are not yet written. A reader of the output that
	// is slow costs lines, never time.
	logRing = 4096
	// linesPerSecond and lineBurst bound the volume: about twice the requests
	// that a small VM serves, and the lines of a start.
	linesPerSecond = 600
	lineBurst      = 3000
	// flushInterval is how long lines are collected for one write.
	flushInterval = 100 * time.Millisecond
)

// NewBoundedLogger returns a logger that writes JSON lines in the background.
// Lines beyond the bounds are dropped and counted in a line of their own. The
// function writes what is left and ends the logger.
func NewBoundedLogger(w io.Writer) (logr.Logger, func()) {
	b := &boundedWriter{
		out: w, lines: ring.New[[]byte]("log", logRing, ring.Reject),
		limit: rate.NewLimiter(linesPerSecond, lineBurst), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go b.run()
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	z := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), b, zapcore.InfoLevel))
	return zapr.NewLogger(z), b.close
}

type boundedWriter struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	limit   *rate.Limiter
	dropped atomic.Int64
	once    sync.Once
	stop    chan struct{}
	done    chan struct{}
}

// Write implements zapcore.WriteSyncer. It never waits.
func (b *boundedWriter) Write(line []byte) (int, error) {
	if !b.limit.Allow() || b.lines.Put(context.Background(), bytes.Clone(line)) != nil {
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (b *boundedWriter) Sync() error { return nil }

func (b *boundedWriter) run() {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines.C():
			b.flush(line)
			pause := time.NewTimer(flushInterval)
			select {
			case <-pause.C:
			case <-b.stop:
			}
			pause.Stop()
		case <-b.stop:
			b.flush(nil)
			return
		}
	}
}

// flush writes the lines that are there in one call.
func (b *boundedWriter) flush(first []byte) {
	buffer := bytes.NewBuffer(first)
	for range b.lines.Len() {
		buffer.Write(<-b.lines.C())
	}
	if n := b.dropped.Swap(0); n > 0 {
		fmt.Fprintf(buffer, "{\"level\":\"warn\",\"ts\":%q,\"msg\":\"log lines dropped\",\"count\":%d}\n", time.Now().Format(time.RFC3339Nano), n)
	}
	_, _ = b.out.Write(buffer.Bytes()) // there is nowhere to report a failing log
}

func (b *boundedWriter) close() {
	b.once.Do(func() { close(b.stop) })
	<-b.done
}
