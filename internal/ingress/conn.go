package ingress

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"celeryhook.example/celeryhook/internal/inbound"
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
	// current is the chunk that is read, and unread its rest.
	current   []byte
	unread    []byte
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
	head  inbound.Head
	// room is told when the connection may give way.
	room *inbound.Room
	// makeRoom ends another connection so that there is memory for the head of this one,
	// and reports whether it did.
	makeRoom func(*conn) bool
	// headTimeout and maxHeadBytes return how long a head may take from its first byte,
	// and how large it may be.
	headTimeout  func() time.Duration
	maxHeadBytes func() int64
	// onClose is called once when the connection is closed.
	onClose func()
	// mu serialises the arrival of data, the start of requests and the decision to
	// close the connection: what arrives after it is never handled as a request.
	mu      sync.Mutex
	closing bool
	// busy is set while a request is in progress on the connection, and served once one
	// has been answered.
	busy, served bool
	// lastUsed is when data last arrived or a request last ended.
	lastUsed time.Time
	// headSince and headBytes are when the first byte of an incomplete head was read,
	// and the memory that the head holds; headDeadline is when it must be complete.
	headSince, headDeadline time.Time
	headBytes               int64
	// headComplete is set once the whole head has been read, before its request begins,
	// and failed once a head was rejected.
	headComplete, failed bool
}

// newConn returns a connection that holds memory of the charge, which it releases
// when it is closed.
func newConn(c net.Conn, held *memory.Charge, onClose func()) *conn {
	n := &conn{
		Conn: c, chunks: make(chan []byte, maxChunksAhead), done: make(chan struct{}), held: held, taken: make(chan struct{}, 1), onClose: onClose,
		discarding: make(chan struct{}),
		room:       inbound.NewRoom(), makeRoom: func(*conn) bool { return false },
		headTimeout: func() time.Duration { return headerTimeout }, maxHeadBytes: func() int64 { return inbound.DefaultHeadBytes + inbound.HeadSlack },
	}
	n.head.Begin()
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
	if c.busy || len(c.chunks) > 0 || time.Since(c.lastUsed) < idleTime {
		return false
	}
	c.closing = true
	_ = c.Close()
	return true
}

// view returns what the decision depends on which connection gives way.
func (c *conn) view() inbound.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.viewLocked()
}

func (c *conn) viewLocked() inbound.View {
	switch {
	case c.closing || c.busy || c.headComplete || c.pipeline.pending():
		return inbound.View{Phase: inbound.Busy}
	case !c.headSince.IsZero() || c.failed:
		return inbound.View{Phase: inbound.Reading, Since: c.headSince, HeadBytes: c.headBytes}
	case len(c.chunks) > 0: // will be read at once
		return inbound.View{Phase: inbound.Busy}
	case c.served:
		return inbound.View{Phase: inbound.Kept, Since: c.lastUsed}
	}
	return inbound.View{Phase: inbound.Fresh, Since: c.lastUsed}
}

// evict closes the connection unless it has been used since it was in the given phase,
// and reports whether it did. What it holds is released once the HTTP server has ended it
// too: until then its goroutine keeps what it has read.
func (c *conn) evict(seen inbound.View) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.viewLocked()
	if now.Phase != seen.Phase || now.Since != seen.Since {
		return false
	}
	c.closing = true
	_ = c.Conn.Close()
	return true
}

// isFresh reports whether the first request of the connection hasn't begun.
func (c *conn) isFresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && !c.busy && !c.failed && !c.served && !c.headComplete
}

// isClosed reports whether the connection has been closed or is being closed.
func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.done:
		return true
	default:
		return c.closing
	}
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
		b := newChunk()
		n, err := c.Conn.Read(b)
		if n > 0 {
			if !c.markUsed() {
				return
			}
			c.pipeline.feed(b[:n])
			select {
			case <-c.discarding:
				reuseChunk(b)
			default:
				select {
				case c.chunks <- b[:n]:
				case <-c.discarding:
					reuseChunk(b)
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

// chunks holds chunks that were read or discarded: their garbage would exceed the memory
// of a small VM before it is collected.
var chunks = sync.Pool{New: func() any { return new([readChunkSize]byte) }}

func newChunk() []byte { return chunks.Get().(*[readChunkSize]byte)[:] }

// reuseChunk makes a chunk available to newChunk.
func reuseChunk(b []byte) {
	if cap(b) >= readChunkSize {
		chunks.Put((*[readChunkSize]byte)(b[:readChunkSize]))
	}
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
		if err := c.head.Check(); err != nil {
			return 0, c.fail(err)
		}
	}
	for {
		if c.isClosed() {
			return 0, net.ErrClosed
		}
		if len(c.unread) == 0 {
			reuseChunk(c.current)
			c.current = nil
			if err := c.fill(); err != nil {
				return 0, err
			}
		}
		c.unread = c.head.SkipEmptyLines(c.unread)
		if err := c.head.CheckEmptyLines(); err != nil {
			return 0, c.fail(err)
		}
		if len(c.unread) > 0 {
			break
		}
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	c.head.Limit(c.maxHeadBytes)
	if cost := c.head.Read(b[:n]); cost > 0 && !c.holdHead(cost) {
		return 0, c.fail(inbound.ErrMemory)
	}
	return n, nil
}

// fail records that a head was rejected. The connection may give way at once: net/http
// would keep it open for half a second after its response.
func (c *conn) fail(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = true
	c.room.Changed()
	return err
}

// holdHead holds memory for a part of a head. It reports false if there is none although
// larger heads have given way.
func (c *conn) holdHead(cost int64) bool {
	add := c.held.Add
	if c.recordHead(cost) > inbound.SmallHead {
		add = c.held.AddBody
	}
	for !add(cost) {
		if !c.makeRoom(c) {
			return false
		}
	}
	return true
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

// recordHead records a part of a head that takes memory, and starts the time for the head
// with the first part. It returns the memory that the head takes so far.
func (c *conn) recordHead(cost int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return 0 // the byte that detects the end of the connection
	}
	c.headBytes += cost
	c.headComplete = c.head.Complete()
	if c.headComplete {
		return c.headBytes
	}
	if c.headSince.IsZero() {
		c.headSince = time.Now()
		c.headDeadline = c.headSince.Add(c.headTimeout())
		c.readDeadline.set(c.headDeadline)
	}
	c.room.Changed()
	return c.headBytes
}

// beginHead is called when a request has been answered, before the next head is read.
func (c *conn) beginHead() {
	c.endHead()
	c.head.Begin()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.served, c.lastUsed = false, true, time.Now()
	c.room.Changed()
}

// endHead is called when the head of a request was read, or reading it has failed. What
// the request holds from now on is accounted for by its handler.
func (c *conn) endHead() {
	for _, cost := range c.head.End() {
		c.held.Sub(cost)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.headDeadline.IsZero() {
		c.readDeadline.set(time.Time{})
	}
	c.headSince, c.headDeadline, c.headBytes, c.headComplete = time.Time{}, time.Time{}, 0, false
	c.lastUsed = time.Now()
}

// beginRequest is called before a request is handled. It reports false if the connection
// has given way meanwhile, so that the request must not be handled.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = !c.closing
	return c.busy
}

// SetReadDeadline implements net.Conn. The deadline applies to Read, not to the
// goroutine that reads ahead. It doesn't extend the time for a head.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.headDeadline.IsZero() && (t.IsZero() || t.After(c.headDeadline)) {
		t = c.headDeadline
	}
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
	n.room, n.makeRoom, n.headTimeout, n.maxHeadBytes = s.room, s.makeRoomForHead, s.headTimeout, s.maxHeadBytes
	ctx, cancel := context.WithCancelCause(ctx)
	n.pipeline = &pipeline{ctx: ctx, server: s}
	n.startReading(cancel)
	return context.WithValue(ctx, connKey{}, n)
}
