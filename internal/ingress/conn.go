package ingress

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"celeryhook.example/celeryhook/internal/memory"
)

const (
	// readChunkSize and maxChunksAhead bound the memory for data that is read
	// ahead of the HTTP server: about 64 KiB for each connection, which is enough
	// for pipelined requests. Beyond the first chunk, the memory account must have
	// room: 64 KiB for each of 3,075 connections are more than a small VM has.
	readChunkSize  = 4 << 10
	maxChunksAhead = 16
)

// errCallerClosed is the cancellation cause of a request whose caller closed
// the connection. Its text is part of responses to callers.
var errCallerClosed = errors.New("ingress: caller closed the connection")

// conn reads ahead of the HTTP server, so that it detects a closed connection
// while a request is in progress, even with pipelined requests unread.
type conn struct {
	net.Conn
	chunks chan []byte
	// current is the chunk that is read, and unread its rest. used has room for a chunk
	// that was read.
	current   []byte
	unread    []byte
	used      chan []byte
	err       error
	cancel    context.CancelCauseFunc
	done      chan struct{}
	closeOnce sync.Once
	// discarding is closed once nothing that arrives is read any more.
	discarding   chan struct{}
	discardOnce  sync.Once
	readDeadline deadline
	// pipeline follows the requests that arrive.
	pipeline *pipeline
	// held is what the connection holds of the memory account.
	held *memory.Charge
	// taken is signalled when a chunk was taken from chunks.
	taken chan struct{}
	// extra is the number of chunks ahead that are part of held.
	extra atomic.Int64
	head  headReader
	// onClose is called once when the connection is closed.
	onClose func()
	// busy is set while a request is in progress on the connection.
	busy atomic.Bool
	// mu serialises the arrival of data and the decision to close an idle
	// connection: data that arrives after it is never handled as a request.
	mu      sync.Mutex
	closing bool
	// lastUsed is when data last arrived or a request last ended.
	lastUsed time.Time
}

// newConn returns a connection that holds memory of the charge, which it releases
// when it is closed.
func newConn(c net.Conn, held *memory.Charge, onClose func()) *conn {
	n := &conn{
		Conn: c, chunks: make(chan []byte, maxChunksAhead), done: make(chan struct{}), held: held, taken: make(chan struct{}, 1), used: make(chan []byte, 1), onClose: onClose,
		discarding: make(chan struct{}),
	}
	n.head.begin()
	n.readDeadline.expired = make(chan struct{})
	n.lastUsed = time.Now()
	return n
}

// markUsed updates lastUsed. It reports false if the connection is being
// closed.
func (c *conn) markUsed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = time.Now()
	return !c.closing
}

// closeIfIdle closes the connection if it has been idle for the given time, and
// reports whether it did.
func (c *conn) closeIfIdle(idleTime time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy.Load() || len(c.chunks) > 0 || time.Since(c.lastUsed) < idleTime {
		return false
	}
	c.closing = true
	_ = c.Close()
	return true
}

// idleSince returns when the connection was last used, and whether it is idle and open.
func (c *conn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsed, !c.closing && !c.busy.Load() && len(c.chunks) == 0
}

// startReading starts the goroutine that reads ahead. It calls cancel when the
// connection ends.
func (c *conn) startReading(cancel context.CancelCauseFunc) {
	c.cancel = cancel
	go c.readLoop()
}

func (c *conn) readLoop() {
	defer close(c.chunks)
	for c.awaitRoom() {
		b := c.newChunk()
		n, err := c.Conn.Read(b)
		if n > 0 {
			if !c.markUsed() {
				return
			}
			c.pipeline.feed(b[:n])
			select {
			case <-c.discarding:
			default:
				select {
				case c.chunks <- b[:n]:
				case <-c.discarding:
				case <-c.done:
					return
				}
			}
		}
		if err != nil {
			c.err = err
			c.cancel(errCallerClosed)
			return
		}
	}
}

// newChunk returns a buffer, if possible one that was used before: the garbage of a large
// body's chunks would take as much memory as the body.
func (c *conn) newChunk() []byte {
	select {
	case b := <-c.used:
		return b[:readChunkSize]
	default:
		return make([]byte, readChunkSize)
	}
}

// reuseChunk makes the current chunk, which was read completely, available to newChunk.
func (c *conn) reuseChunk() {
	if cap(c.current) < readChunkSize {
		return
	}
	select {
	case c.used <- c.current:
	default:
	}
	c.current = nil
}

// awaitRoom waits until there is room for another chunk. It reports false if the
// connection was closed. While it waits, the end of the connection isn't detected.
func (c *conn) awaitRoom() bool {
	for len(c.chunks) > 0 {
		select {
		case <-c.discarding:
			return true
		default:
		}
		if c.held.AddSpare(readChunkSize) {
			c.extra.Add(1)
			return true
		}
		select {
		case <-c.taken:
		case <-c.discarding:
		case <-c.done:
			return false
		}
	}
	return true
}

// chunkTaken releases the memory of a chunk that was taken from chunks.
func (c *conn) chunkTaken() {
	if c.extra.Add(-1) >= 0 {
		c.held.Sub(readChunkSize)
	} else {
		c.extra.Add(1)
	}
	select {
	case c.taken <- struct{}{}:
	default:
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	// A read of one byte only detects the end of the connection while a request is
	// in progress.
	if len(b) > 1 {
		if err := c.head.check(); err != nil {
			return 0, err
		}
	}
	for {
		if len(c.unread) == 0 {
			c.reuseChunk()
			if err := c.fill(); err != nil {
				return 0, err
			}
		}
		c.unread = c.head.skipEmptyLines(c.unread)
		if err := c.head.checkEmptyLines(); err != nil {
			return 0, err
		}
		if len(c.unread) > 0 {
			break
		}
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	if cost := c.head.read(b[:n]); cost > 0 && !c.held.Add(cost) {
		return 0, errMemoryFull
	}
	return n, nil
}

// fill waits for the next chunk. A chunk that is available is returned even
// after the read deadline.
func (c *conn) fill() error {
	var ok bool
	select {
	case c.unread, ok = <-c.chunks:
	default:
		select {
		case c.unread, ok = <-c.chunks:
		case <-c.readDeadline.done():
			return os.ErrDeadlineExceeded
		case <-c.done:
			return net.ErrClosed
		}
	}
	if !ok {
		return c.err
	}
	c.current = c.unread
	c.chunkTaken()
	return nil
}

// beginHead is called before the head of a request is read.
func (c *conn) beginHead() { c.head.begin() }

// endHead is called when the head of a request was read. What the request holds from
// now on is accounted for by its handler.
func (c *conn) endHead() {
	for _, cost := range c.head.end() {
		c.held.Sub(cost)
	}
}

// SetReadDeadline implements net.Conn. The deadline applies to Read, not to the
// goroutine that reads ahead.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return nil
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.done)
		c.held.Release()
		c.onClose()
	})
	return c.Conn.Close()
}

// CloseWrite shuts down the sending side. net/http calls it half a second before
// Close, so that a TCP reset doesn't discard the response. What arrives until then, such
// as the body of a rejected request, is discarded: unread bytes would cause a reset.
func (c *conn) CloseWrite() error {
	c.discardOnce.Do(func() { close(c.discarding) })
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

type connKey struct{}

// connContext starts reading ahead and returns a context that is cancelled when
// the connection ends.
func (s *Server) connContext(ctx context.Context, c net.Conn) context.Context {
	n, ok := c.(*conn)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancelCause(ctx)
	n.pipeline = &pipeline{ctx: ctx, server: s}
	n.startReading(cancel)
	return context.WithValue(ctx, connKey{}, n)
}
